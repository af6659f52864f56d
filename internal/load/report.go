package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brackenbend/internal/simulation/scenario"
)

// senderDelayWarning is the sender's delay above which the text report prints a warning.
const senderDelayWarning = 50 * time.Millisecond

// Report is the result of a run.
type Report struct {
	Length         time.Duration
	Elapsed        time.Duration // until all sessions had ended
	Classes        []Class
	Tenants        []scenario.Row
	Service        float64 // fraction of the requested priority weight that was served
	Timeline       []scenario.SecondTotals
	Outcomes       map[string]int // number of attempts by outcome: served, refused, failed ...
	Tokens         int64          // received in all responses
	NotStarted     int            // sessions dropped because Plan.MaxOpenSessions sessions were open
	MaxSenderDelay time.Duration  // longest delay between the scheduled and the actual start of a session
}

// Quantiles summarizes a histogram. Times are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percentile float64) float64 { return milliseconds(h.ValueAtQuantile(percentile)) }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), milliseconds(h.Max())}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// namedHistogram is a latency histogram of a class with its name in reports.
type namedHistogram struct {
	name      string
	histogram *hdrhistogram.Histogram
}

func (c *Class) histograms() []namedHistogram {
	return []namedHistogram{{"first token", c.FirstToken}, {"between tokens", c.TokenGap}, {"whole answer", c.Completion}}
}

// WriteText writes the report as plain text.
func (r *Report) WriteText(out io.Writer) error {
	if _, err := io.WriteString(out, r.summary()); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, section := range []string{r.classTable(), r.latencyTable(), r.outcomeLine()} {
		if _, err := io.WriteString(table, section); err != nil {
			return err
		}
	}
	return table.Flush()
}

func (r *Report) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service %.4f over %v; %d tokens, %.0f a second\n",
		r.Service, r.Length, r.Tokens, float64(r.Tokens)/r.Elapsed.Seconds())
	if r.NotStarted > 0 {
		fmt.Fprintf(&b, "%d sessions were dropped: the limit of open sessions was reached (--most)\n", r.NotStarted)
	}
	if r.MaxSenderDelay > senderDelayWarning {
		fmt.Fprintf(&b, "the load generator started sessions up to %v late; latencies of that order are unreliable\n",
			r.MaxSenderDelay.Round(time.Millisecond))
	}
	return b.String()
}

// classTable returns a table of outcomes with tab-separated cells and a row for each class.
func (r *Report) classTable() string {
	var b strings.Builder
	b.WriteString("\nCLASS\tREQUESTS\tSERVICE\tSERVED\tLATE\tREFUSED\tFAILED\tBROKEN\tLEFT\tLOST\tTRIES\n")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%s\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			c.Name, c.Requests, c.Service, c.Served, c.Late, c.Rejected, c.Failed, c.Broken, c.Disconnected, c.Lost, c.Attempts)
	}
	return b.String()
}

// latencyTable returns a table of quantiles with tab-separated cells and a row for each latency of each class.
func (r *Report) latencyTable() string {
	var b strings.Builder
	b.WriteString("\nMILLISECONDS\tCOUNT\tP50\tP90\tP99\tP99.9\tMAX\n")
	for _, c := range r.Classes {
		for _, h := range c.histograms() {
			q := quantiles(h.histogram)
			fmt.Fprintf(&b, "%s, %s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
				c.Name, h.name, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
		}
	}
	return b.String()
}

func (r *Report) outcomeLine() string {
	var b strings.Builder
	b.WriteString("\nends of tries")
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, "\t%s %d", outcome, r.Outcomes[outcome])
	}
	b.WriteString("\n")
	return b.String()
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	type class struct {
		Class
		FirstToken Quantiles `json:"first_token"`
		TokenGap   Quantiles `json:"between_tokens"`
		Completion Quantiles `json:"whole_answer"`
	}
	var classes []class
	for _, c := range r.Classes {
		classes = append(classes, class{c, quantiles(c.FirstToken), quantiles(c.TokenGap), quantiles(c.Completion)})
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(map[string]any{
		"seconds": r.Length.Seconds(), "service": r.Service, "classes": classes, "tenants": r.Tenants,
		"ends": r.Outcomes, "tokens": r.Tokens, "not_begun": r.NotStarted,
		"sender_late_ms": milliseconds(r.MaxSenderDelay.Microseconds()), "course": r.Timeline,
	})
}
