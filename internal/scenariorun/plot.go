package scenariorun

import (
	"path/filepath"

	"brackenbend/internal/simulation/chart"
)

// serviceSmoothingRadius is how many seconds before and after each point of the service chart go into its mean.
const serviceSmoothingRadius = 2

// Plot writes charts to dir as SVG files: service over time and, where engines change role, the engines of each role.
func (r *Report) Plot(dir string) error {
	if err := r.plotService(filepath.Join(dir, "service.svg")); err != nil {
		return err
	}
	if len(r.RoleSamples) == 0 {
		return nil
	}
	return r.plotRoles(filepath.Join(dir, "roles.svg"))
}

func (r *Report) plotService(file string) error {
	service := make([]float64, len(r.Timeline))
	for i, second := range r.Timeline {
		service[i] = second.ServedWeight / second.RequestedWeight // NaN for a second without requests
	}
	return chart.Save(file, "service by the time of asking, mean of 5 s", "seconds", "service",
		chart.Line{Name: "service", X: chart.Indices(len(service)), Y: chart.Smooth(service, serviceSmoothingRadius)})
}

func (r *Report) plotRoles(file string) error {
	curves := []struct {
		name  string
		value func(RoleSample) float64
	}{
		{"changing", func(s RoleSample) float64 { return float64(s.Changing) }},
		{"readers", func(s RoleSample) float64 { return float64(s.PrefillEngines) }},
		{"writers", func(s RoleSample) float64 { return float64(s.DecodeEngines) }},
		{"reading asked for", func(s RoleSample) float64 { return s.PrefillDemand }},
		{"writing asked for", func(s RoleSample) float64 { return s.DecodeDemand }},
	}
	var times []float64
	for _, sample := range r.RoleSamples {
		times = append(times, sample.At-r.RoleSamples[0].At)
	}
	var lines []chart.Line
	for _, curve := range curves {
		line := chart.Line{Name: curve.name, X: times}
		for _, sample := range r.RoleSamples {
			line.Y = append(line.Y, curve.value(sample))
		}
		lines = append(lines, line)
	}
	return chart.Save(file, "engines by role, and the work asked for in engines", "seconds", "engines", lines...)
}
