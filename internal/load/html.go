package load

import (
	"html/template"
	"io"
	"math"

	"brackenbend/internal/simulation/chart"
)

// smoothing is how many seconds on either side are averaged in the plot of service over time.
const smoothing = 2

// Range and step of the plot of times to the first token, in nines of the requests: 1 = 90%, 2 = 99%.
const (
	maxNines  = 4
	ninesStep = 0.05
)

var page = template.Must(template.New("load").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Load</title>
<style>` + pageStyle + `</style>
<h1>Load over {{.Length}}</h1><p>Service {{printf "%.4f" .Service}}, {{.Tokens}} tokens.</p>
<table><tr><th>class<th>what<th>count<th>p50 ms<th>p90<th>p99<th>p99.9<th>max</tr>
` + pageRows + `</table>{{range .Plots}}<p>{{.}}</p>{{end}}
</html>
`))

const (
	pageStyle = `body{font:16px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}` +
		`td,th{padding:.3em 1em;border-bottom:1px solid #ccc;text-align:right}svg{max-width:100%;height:auto}`

	pageRows = `{{range .Rows}}<tr><td>{{.Class}}<td>{{.What}}<td>{{.Q.Count}}<td>{{printf "%.1f" .Q.P50}}` +
		`<td>{{printf "%.1f" .Q.P90}}<td>{{printf "%.1f" .Q.P99}}<td>{{printf "%.1f" .Q.P999}}` +
		`<td>{{printf "%.1f" .Q.Max}}</tr>
{{end}}`
)

// pageRow is one time of one class.
type pageRow struct {
	Class, What string
	Q           Quantiles
}

// WriteHTML writes a page with plots: service over time, and the times to the first token by the part of requests.
func (r *Report) WriteHTML(out io.Writer) error {
	var rows []pageRow
	for _, c := range r.Classes {
		for _, h := range c.histograms() {
			rows = append(rows, pageRow{c.Name, h.name, quantiles(h.histogram)})
		}
	}
	service, err := r.plotService()
	if err != nil {
		return err
	}
	firstTokens, err := r.plotFirstTokens()
	if err != nil {
		return err
	}
	return page.Execute(out, map[string]any{
		"Length": r.Length, "Service": r.Service, "Tokens": r.Tokens, "Rows": rows,
		"Plots": []template.HTML{template.HTML(service), template.HTML(firstTokens)}, // drawn here, from figures
	})
}

func (r *Report) plotService() (svg []byte, err error) {
	service := make([]float64, len(r.Timeline))
	for i, second := range r.Timeline {
		service[i] = second.Worth / second.Asked // NaN where nothing was asked
	}
	return chart.SVG("service by the time of asking, mean of 5 s", "seconds", "service",
		chart.Line{Name: "service", X: chart.Indices(len(service)), Y: chart.Smooth(service, smoothing)})
}

func (r *Report) plotFirstTokens() (svg []byte, err error) {
	var lines []chart.Line
	for _, c := range r.Classes {
		if c.FirstToken.TotalCount() == 0 {
			continue
		}
		line := chart.Line{Name: c.Name}
		for nines := 0.0; nines <= maxNines; nines += ninesStep {
			percentile := 100 * (1 - math.Pow(10, -nines))
			line.X = append(line.X, nines)
			line.Y = append(line.Y, milliseconds(c.FirstToken.ValueAtQuantile(percentile)))
		}
		lines = append(lines, line)
	}
	return chart.SVG("time to the first token", "nines of the part of requests (1 = 90%, 2 = 99%)", "milliseconds",
		lines...)
}
