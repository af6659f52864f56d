package rolesim

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"brackenbend/internal/simulation/chart"
)

// WriteTable prints the rows as a table.
func WriteTable(out io.Writer, rows []ComparisonRow) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	header := "SCENARIO\tBEST FIXED\tHALF\tPLANNED\tSEEING\tPLANNED-BEST\tTOWARD SEEING\tCHANGES\tSHORTEST STAY"
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}
	for _, r := range rows {
		gapClosed, dwell := "", ""
		if fraction := r.GapClosed(); !math.IsNaN(fraction) {
			gapClosed = fmt.Sprintf("%.0f%%", 100*fraction)
		}
		if r.MinDwell > 0 {
			dwell = r.MinDwell.Round(time.Second).String()
		}
		_, err := fmt.Fprintf(w, "%s\t%.4f (%d)\t%.4f\t%.4f\t%.4f\t%+.4f ±%.4f\t%s\t%.1f\t%s\n",
			r.Scenario, r.BestFixedService, r.BestFixedPrefill, r.EvenSplitService, r.PlannedService, r.ClairvoyantService,
			r.PlannedService-r.BestFixedService, r.StandardError, gapClosed, r.RoleChanges, dwell)
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

// smoothingRadius is the number of seconds on either side over which the plotted loss is averaged.
const smoothingRadius = 2

// Plot writes two SVG files for each row to dir: the prefill engines, and the lost requests, over time.
func Plot(dir string, rows []ComparisonRow) error {
	for i := range rows {
		if err := rows[i].plot(dir); err != nil {
			return err
		}
	}
	return nil
}

func (r *ComparisonRow) plot(dir string) error {
	var prefillLines, lossLines []chart.Line
	names := []string{"best fixed", "planned", "seeing"}
	for i, result := range []*Result{r.BestFixedResult, r.PlannedResult, r.ClairvoyantResult} {
		engines := make([]float64, len(result.PrefillEngines))
		for second, n := range result.PrefillEngines {
			engines[second] = float64(n)
		}
		smoothed := chart.Smooth(result.LostFractions, smoothingRadius)
		prefillLines = append(prefillLines, chart.Line{Name: names[i], X: chart.Indices(len(engines)), Y: engines})
		lossLines = append(lossLines, chart.Line{Name: names[i], X: chart.Indices(len(smoothed)), Y: smoothed})
	}
	base := filepath.Join(dir, strings.ReplaceAll(r.Scenario, " ", "-"))
	if err := chart.Save(base+"-readers.svg", r.Scenario, "seconds", "readers", prefillLines...); err != nil {
		return err
	}
	return chart.Save(base+"-lost.svg", r.Scenario, "seconds", "part lost, mean of 5 s", lossLines...)
}
