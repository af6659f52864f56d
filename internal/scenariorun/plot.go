package scenariorun

import (
	"path/filepath"

	"brackenbend/internal/simulation/chart"
)

// Plot draws service over time, and where engines change role how they stood, as SVG files into dir.
func (r *Report) Plot(dir string) error {
	service := make([]float64, len(r.Timeline))
	for i, s := range r.Timeline {
		service[i] = s.Worth / s.Asked // NaN where nothing was asked
	}
	err := chart.Save(filepath.Join(dir, "service.svg"), "service by the time of asking, mean of 5 s", "seconds", "service",
		chart.Line{Name: "service", X: chart.Seconds(len(service)), Y: chart.Smooth(service, 2)})
	if err != nil || len(r.Roles) == 0 {
		return err
	}
	var x []float64
	lines := make([]chart.Line, 5)
	for i, name := range []string{"changing", "readers", "writers", "reading asked for", "writing asked for"} {
		lines[i].Name = name
	}
	for _, s := range r.Roles {
		x = append(x, s.At-r.Roles[0].At)
		for i, v := range []float64{float64(s.Changing), float64(s.Readers), float64(s.Writers), s.Reading, s.Writing} {
			lines[i].Y = append(lines[i].Y, v)
		}
	}
	for i := range lines {
		lines[i].X = x
	}
	return chart.Save(filepath.Join(dir, "roles.svg"), "engines by role, and the work asked for in engines", "seconds", "engines", lines...)
}
