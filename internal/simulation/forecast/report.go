package forecast

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"brackenbend/internal/simulation/chart"
	"brackenbend/internal/simulation/scenario"
)

// row is one line of a comparison.
type row struct{ What, A, B string }

func (c *Comparison) rows() []row {
	f := func(what, format string, v [2]float64) row {
		return row{what, fmt.Sprintf(format, v[0]), fmt.Sprintf(format, v[1])}
	}
	rows := []row{
		f("service", "%.4f", c.Means), f("worst 10 s", "%.4f", c.Worst), f("part refused", "%.4f", c.Refused),
		f("attempts a request", "%.2f", c.Attempts), f("state tokens moved a request", "%.0f", c.Moved),
	}
	return append(rows, row{"rules broken", fmt.Sprint(c.Violations[0]), fmt.Sprint(c.Violations[1])})
}

// answer is the verdict in a sentence.
func (c *Comparison) answer() string {
	s := fmt.Sprintf("%s: service differs by %+.4f, %.0f%% bars %+.4f to %+.4f, %d courses, %d looks", c.Verdict, c.Mean, 100*c.Level, c.Low, c.High,
		len(c.Diffs), c.Looks)
	if c.Bimodal {
		s += "; the differences fall into two heaps, so the mean says little: see the courses"
	}
	return s
}

// WriteText prints a comparison for people.
func (c *Comparison) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "SIMULATED\t%s\t%s\n", c.Names[0], c.Names[1])
	for _, r := range c.rows() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.What, r.A, r.B)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", c.answer())
	return err
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:16px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{padding:.3em 1em;border-bottom:1px solid #ccc;text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1><p>{{.Answer}}</p>
<table><tr><th>simulated<th>{{index .Names 0}}<th>{{index .Names 1}}</tr>{{range .Rows}}<tr><td>{{.What}}<td>{{.A}}<td>{{.B}}</tr>{{end}}</table>
{{range .Plots}}<p>{{.}}</p>{{end}}
</html>
`))

// WriteHTML writes a page with plots: service over time on both sides, and the differences of all courses.
func (c *Comparison) WriteHTML(out io.Writer) error {
	var lines []chart.Line
	for k, name := range c.Names {
		lines = append(lines, chart.Line{Name: name, X: chart.Seconds(len(c.Timelines[k])), Y: chart.Smooth(course(c.Timelines[k]), 2)})
	}
	over, err := chart.SVG("service by the time of asking, all courses, mean of 5 s", "seconds", "service", lines...)
	if err != nil {
		return err
	}
	sorted := slices.Sorted(slices.Values(c.Diffs))
	flat := func(v float64) []float64 {
		out := make([]float64, len(sorted))
		for i := range out {
			out[i] = v
		}
		return out
	}
	x := chart.Seconds(len(sorted))
	diffs, err := chart.SVG("difference of service by course, smallest first", "course", "second less first", chart.Line{Name: "courses", X: x, Y: sorted},
		chart.Line{Name: "bars of the mean", X: x, Y: flat(c.Low)}, chart.Line{X: x, Y: flat(c.High)})
	if err != nil {
		return err
	}
	var b bytes.Buffer
	err = page.Execute(&b, map[string]any{
		"Title": c.Names[0] + " and " + c.Names[1], "Answer": c.answer(), "Names": c.Names, "Rows": c.rows(),
		"Plots": []template.HTML{template.HTML(over), template.HTML(diffs)},
	}) // drawn here, from figures
	if err != nil {
		return err
	}
	_, err = out.Write(b.Bytes())
	return err
}

func course(s []scenario.Second) []float64 {
	out := make([]float64, len(s))
	for i, v := range s {
		out[i] = math.NaN()
		if v.Asked > 0 {
			out[i] = v.Worth / v.Asked
		}
	}
	return out
}
