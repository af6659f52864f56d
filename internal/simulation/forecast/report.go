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

// row is one line of a comparison's table: a quantity, and its value for each subject.
type row struct{ What, A, B string }

func (c *Comparison) rows() []row {
	formatRow := func(what, format string, v [2]float64) row {
		return row{what, fmt.Sprintf(format, v[0]), fmt.Sprintf(format, v[1])}
	}
	return []row{
		formatRow("service", "%.4f", c.MeanServices),
		formatRow("worst 10 s", "%.4f", c.WorstServices),
		formatRow("part refused", "%.4f", c.RejectedFractions),
		formatRow("attempts a request", "%.2f", c.AttemptsPerRequest),
		formatRow("state tokens moved a request", "%.0f", c.TransferredTokensPerRequest),
		{"rules broken", fmt.Sprint(c.Violations[0]), fmt.Sprint(c.Violations[1])},
	}
}

// conclusion returns the verdict with the figures that it is based on.
func (c *Comparison) conclusion() string {
	text := fmt.Sprintf(
		"%s: service differs by %+.4f, %.0f%% confidence interval %+.4f to %+.4f, %d replications, %d interim analyses",
		c.Verdict, c.MeanDifference, 100*c.Level, c.Low, c.High, len(c.Differences), c.InterimAnalyses)
	if c.Bimodal {
		text += "; the differences form two clusters, so the mean says little: see the plot of all differences"
	}
	return text
}

// WriteText prints a comparison as a table, followed by the verdict.
func (c *Comparison) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	rows := append([]row{{"SIMULATED", c.Names[0], c.Names[1]}}, c.rows()...)
	for _, r := range rows {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\n", r.What, r.A, r.B); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", c.conclusion())
	return err
}

//nolint:lll // the page's lines as they are served
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:16px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{padding:.3em 1em;border-bottom:1px solid #ccc;text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Title}}</h1><p>{{.Answer}}</p>
<table><tr><th>simulated<th>{{index .Names 0}}<th>{{index .Names 1}}</tr>{{range .Rows}}<tr><td>{{.What}}<td>{{.A}}<td>{{.B}}</tr>{{end}}</table>
{{range .Plots}}<p>{{.}}</p>{{end}}
</html>
`))

// smoothSeconds is the number of seconds on either side over which the plotted service is averaged.
const smoothSeconds = 2

// WriteHTML writes a page with the table, the verdict and two plots: the service of both subjects over time, and the
// differences of all replications.
func (c *Comparison) WriteHTML(out io.Writer) error {
	services, err := c.plotServices()
	if err != nil {
		return err
	}
	differences, err := c.plotDifferences()
	if err != nil {
		return err
	}
	var b bytes.Buffer
	err = pageTemplate.Execute(&b, map[string]any{
		"Title": c.Names[0] + " and " + c.Names[1], "Answer": c.conclusion(), "Names": c.Names, "Rows": c.rows(),
		// Both plots are SVG elements, in which package chart has escaped all texts.
		"Plots": []template.HTML{template.HTML(services), template.HTML(differences)},
	})
	if err != nil {
		return err
	}
	_, err = out.Write(b.Bytes())
	return err
}

func (c *Comparison) plotServices() ([]byte, error) {
	var lines []chart.Line
	for k, name := range c.Names {
		y := chart.Smooth(serviceBySecond(c.Timelines[k]), smoothSeconds)
		lines = append(lines, chart.Line{Name: name, X: chart.Indices(len(y)), Y: y})
	}
	return chart.SVG("service by the time of asking, all courses, mean of 5 s", "seconds", "service", lines...)
}

func (c *Comparison) plotDifferences() ([]byte, error) {
	sorted := slices.Sorted(slices.Values(c.Differences))
	x := chart.Indices(len(sorted))
	return chart.SVG("difference of service by course, smallest first", "course", "second less first",
		chart.Line{Name: "courses", X: x, Y: sorted},
		chart.Line{Name: "bars of the mean", X: x, Y: slices.Repeat([]float64{c.Low}, len(sorted))},
		chart.Line{X: x, Y: slices.Repeat([]float64{c.High}, len(sorted))})
}

// serviceBySecond returns the service of each second; it is NaN where nothing was requested.
func serviceBySecond(timeline []scenario.SecondTotals) []float64 {
	services := make([]float64, len(timeline))
	for i, second := range timeline {
		services[i] = math.NaN()
		if second.RequestedWeight > 0 {
			services[i] = second.ServedWeight / second.RequestedWeight
		}
	}
	return services
}
