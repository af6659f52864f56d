package planner

import (
	"brackenbend/internal/telemetry"
	"brackenbend/roles"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// LostWork turns fronts' counts of lost requests into work, by what a request takes of the engines by and large.
type LostWork struct {
	seen   map[string][2]float64 // counts by front and stage, as last read
	totals map[string]*roles.Report
}

// NewLostWork begins with no counts.
func NewLostWork() LostWork {
	return LostWork{seen: map[string][2]float64{}, totals: map[string]*roles.Report{}}
}

// MeanCosts is what one request takes of each stage, in engine seconds, over the lives of all engines that answered.
func MeanCosts(words map[string]Status) (read, write float64) {
	var done, count [2]float64
	for _, id := range slices.Sorted(maps.Keys(words)) { // in one order, so that sums of parts are the same every time
		st := words[id]
		done[0], count[0] = done[0]+st.Read.Done, count[0]+st.Read.Count
		done[1], count[1] = done[1]+st.Write.Done, count[1]+st.Write.Count
	}
	return done[0] / max(count[0], 1), done[1] / max(count[1], 1)
}

// Add takes the counts of a front at now: what was lost before it was read would have had to be written too.
func (l *LostWork) Add(front string, counts [2]float64, now time.Duration, read, write float64) *roles.Report {
	was, known := l.seen[front]
	l.seen[front] = counts
	t := l.totals[front]
	if t == nil {
		t = &roles.Report{}
		l.totals[front] = t
	}
	t.At = now
	if !known || counts[0] < was[0] || counts[1] < was[1] { // first seen, or a new process
		return t
	}
	unread, unwritten := counts[0]-was[0], counts[1]-was[1]
	t.Read.Lost += unread * read
	t.Write.Lost += (unread + unwritten) * write
	return t
}

// askFronts reads the fronts' counters; those that do not answer are left out.
func (r *Runner) askFronts(ctx context.Context) []roles.Replica {
	ctx, stop := context.WithTimeout(ctx, 2*r.Interval)
	defer stop()
	counts := make([]*[2]float64, len(r.Replicas))
	room := make(chan struct{}, r.MaxConcurrentPolls)
	var wg sync.WaitGroup
	for i, addr := range r.Replicas {
		room <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-room; wg.Done() }()
			if c, err := r.scrape(ctx, "http://"+addr+"/metrics"); err == nil {
				counts[i] = &c
			}
		}()
	}
	wg.Wait()
	read, write := MeanCosts(r.words)
	var out []roles.Replica
	for i, addr := range r.Replicas {
		if counts[i] != nil {
			report := *r.lost.Add(addr, *counts[i], r.now(), read, write)
			out = append(out, roles.Replica{ID: addr, Report: &report})
		}
	}
	return out
}

// scrape reads what a front lost at each stage, in the Prometheus text format.
func (r *Runner) scrape(ctx context.Context, url string) (counts [2]float64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return counts, err
	}
	resp, err := r.Register.HTTP.Do(req)
	if err != nil {
		return counts, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return counts, fmt.Errorf("%s: answered %d", url, resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return counts, err
	}
	for _, m := range families["brackenbend_"+telemetry.LostRequestsName].GetMetric() {
		for i, stage := range [...]string{"read", "write"} {
			if label(m, "stage") == stage {
				counts[i] += m.GetCounter().GetValue()
			}
		}
	}
	return counts, nil
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
