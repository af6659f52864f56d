// Package chart draws line charts for reports. It determines the appearance of charts; callers supply texts and data.
package chart

import (
	"bytes"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Line is one line of a chart. A value of Y that is NaN or infinite leaves a gap.
type Line struct {
	Name string
	X, Y []float64
}

// lineColors are the colors of successive lines; they repeat when there are more lines.
var lineColors = []color.Color{
	color.RGBA{0x88, 0x88, 0x88, 0xff},
	color.RGBA{0xc0, 0x39, 0x2b, 0xff},
	color.RGBA{0x27, 0x6f, 0xbf, 0xff},
	color.RGBA{0x2e, 0x8b, 0x57, 0xff},
	color.RGBA{0x8e, 0x44, 0xad, 0xff},
	color.RGBA{0xd3, 0x84, 0x00, 0xff},
}

// Save writes a chart to a file, whose extension determines the format (svg, png, pdf).
func Save(path, title, x, y string, lines ...Line) error {
	p, err := newPlot(title, x, y, lines)
	if err != nil {
		return err
	}
	return p.Save(width, height, path)
}

// SVG returns a chart as an SVG element for an HTML page. All texts in it are escaped.
func SVG(title, x, y string, lines ...Line) ([]byte, error) {
	p, err := newPlot(title, x, y, lines)
	if err != nil {
		return nil, err
	}
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // an HTML page can't contain the XML declaration
		text = text[i:]
	}
	return text, nil
}

// The size of a chart on a page.
const width, height = 18 * vg.Centimeter, 9 * vg.Centimeter

func newPlot(title, x, y string, lines []Line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		inLegend := false
		for _, points := range splitAtGaps(l) {
			line, err := plotter.NewLine(points)
			if err != nil {
				return nil, err
			}
			line.Color = lineColors[i%len(lineColors)]
			p.Add(line)
			if !inLegend {
				p.Legend.Add(l.Name, line)
				inLegend = true
			}
		}
	}
	return p, nil
}

// splitAtGaps returns the contiguous parts of a line between its gaps.
func splitAtGaps(l Line) (segments []plotter.XYs) {
	var segment plotter.XYs
	for i, v := range l.Y {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			if len(segment) > 0 {
				segments = append(segments, segment)
			}
			segment = nil
			continue
		}
		segment = append(segment, plotter.XY{X: l.X[i], Y: v})
	}
	if len(segment) > 0 {
		segments = append(segments, segment)
	}
	return segments
}

// Indices returns 0 to n-1, the X values of a line with one point per second or per item.
func Indices(n int) []float64 {
	indices := make([]float64, n)
	for i := range indices {
		indices[i] = float64(i)
	}
	return indices
}

// Smooth returns the moving mean over each value and a number of neighbors on either side. NaN values are ignored.
func Smooth(values []float64, neighbors int) []float64 {
	means := make([]float64, len(values))
	for i := range values {
		sum, n := 0.0, 0.0
		for j := max(0, i-neighbors); j <= min(len(values)-1, i+neighbors); j++ {
			if !math.IsNaN(values[j]) {
				sum, n = sum+values[j], n+1
			}
		}
		means[i] = sum / n // NaN where all values are NaN
	}
	return means
}
