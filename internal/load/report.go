package load

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brackenbend/internal/simulation/chart"
)

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1000}
}

// WriteText prints the report for people.
func (r *Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "service %.4f over %v; %d tokens, %.0f a second\n", r.Service, r.Length, r.Tokens, float64(r.Tokens)/r.Took.Seconds())
	if r.NotBegun > 0 {
		fmt.Fprintf(out, "%d sessions did not begin: too many requests were open at once (--most)\n", r.NotBegun)
	}
	if r.Behind > 50*time.Millisecond {
		fmt.Fprintf(out, "the sender itself was up to %v late: figures near that are its own\n", r.Behind.Round(time.Millisecond))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nCLASS\tREQUESTS\tSERVICE\tSERVED\tLATE\tREFUSED\tFAILED\tBROKEN\tLEFT\tLOST\tTRIES")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Requests, c.Row.Service, c.Served, c.Late, c.Refused, c.Failed, c.Broken, c.Left, c.Lost, c.Tries)
	}
	fmt.Fprintln(w, "\nMILLISECONDS\tCOUNT\tP50\tP90\tP99\tP99.9\tMAX")
	for _, c := range r.Classes {
		for _, x := range c.times() {
			q := quantiles(x.h)
			fmt.Fprintf(w, "%s, %s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", c.Name, x.what, q.Count, q.P50, q.P90, q.P99, q.P999, q.Max)
		}
	}
	fmt.Fprint(w, "\nends of tries")
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(w, "\t%s %d", k, r.Kinds[k])
	}
	fmt.Fprintln(w)
	return w.Flush()
}

type timed struct {
	what string
	h    *hdrhistogram.Histogram
}

func (c *Class) times() []timed {
	return []timed{{"first token", c.First}, {"between tokens", c.Gap}, {"whole answer", c.Whole}}
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(out io.Writer) error {
	type class struct {
		Class
		First Quantiles `json:"first_token"`
		Gap   Quantiles `json:"between_tokens"`
		Whole Quantiles `json:"whole_answer"`
	}
	var classes []class
	for _, c := range r.Classes {
		classes = append(classes, class{c, quantiles(c.First), quantiles(c.Gap), quantiles(c.Whole)})
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(map[string]any{
		"seconds": r.Length.Seconds(), "service": r.Service, "classes": classes, "tenants": r.Tenants, "ends": r.Kinds,
		"tokens": r.Tokens, "not_begun": r.NotBegun, "sender_late_ms": float64(r.Behind.Microseconds()) / 1000, "course": r.Course,
	})
}

var page = template.Must(template.New("load").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Load</title>
<style>body{font:16px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{padding:.3em 1em;border-bottom:1px solid #ccc;text-align:right}svg{max-width:100%;height:auto}</style>
<h1>Load over {{.Length}}</h1><p>Service {{printf "%.4f" .Service}}, {{.Tokens}} tokens.</p>
<table><tr><th>class<th>what<th>count<th>p50 ms<th>p90<th>p99<th>p99.9<th>max</tr>
{{range .Rows}}<tr><td>{{.Class}}<td>{{.What}}<td>{{.Q.Count}}<td>{{printf "%.1f" .Q.P50}}<td>{{printf "%.1f" .Q.P90}}<td>{{printf "%.1f" .Q.P99}}<td>{{printf "%.1f" .Q.P999}}<td>{{printf "%.1f" .Q.Max}}</tr>
{{end}}</table>{{range .Plots}}<p>{{.}}</p>{{end}}
</html>
`))

// WriteHTML writes a page with plots: service over time, and the times to the first token by the part of requests.
func (r *Report) WriteHTML(out io.Writer) error {
	type line struct {
		Class, What string
		Q           Quantiles
	}
	var rows []line
	var firsts []chart.Line
	for _, c := range r.Classes {
		for _, x := range c.times() {
			rows = append(rows, line{c.Name, x.what, quantiles(x.h)})
		}
		l := chart.Line{Name: c.Name}
		for q := 0.0; q <= 4; q += 0.05 { // parts 0, 0.9, 0.99 ... at even steps
			l.X, l.Y = append(l.X, q), append(l.Y, float64(c.First.ValueAtQuantile(100*(1-math.Pow(10, -q))))/1000)
		}
		if c.First.TotalCount() > 0 {
			firsts = append(firsts, l)
		}
	}
	service := make([]float64, len(r.Course))
	for i, s := range r.Course {
		service[i] = s.Worth / s.Asked // NaN where nothing was asked
	}
	over, err := chart.SVG("service by the time of asking, mean of 5 s", "seconds", "service", chart.Line{Name: "service", X: chart.Seconds(len(service)), Y: chart.Smooth(service, 2)})
	if err != nil {
		return err
	}
	tails, err := chart.SVG("time to the first token", "nines of the part of requests (1 = 90%, 2 = 99%)", "milliseconds", firsts...)
	if err != nil {
		return err
	}
	return page.Execute(out, map[string]any{
		"Length": r.Length, "Service": r.Service, "Tokens": r.Tokens, "Rows": rows,
		"Plots": []template.HTML{template.HTML(over), template.HTML(tails)},
	}) // drawn here, from figures
}
