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

// WriteTable prints rows for people.
func WriteTable(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	header := "SCENARIO\tBEST FIXED\tHALF\tPLANNED\tSEEING\tPLANNED-BEST\tTOWARD SEEING\tCHANGES\tSHORTEST STAY"
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}
	for _, r := range rows {
		gapClosed, dwell := "", ""
		if part := r.GapClosed(); !math.IsNaN(part) {
			gapClosed = fmt.Sprintf("%.0f%%", 100*part)
		}
		if r.MinDwell > 0 {
			dwell = r.MinDwell.Round(time.Second).String()
		}
		_, err := fmt.Fprintf(w, "%s\t%.4f (%d)\t%.4f\t%.4f\t%.4f\t%+.4f ±%.4f\t%s\t%.1f\t%s\n",
			r.Scenario, r.Best, r.BestPrefill, r.Half, r.Planned, r.Clairvoyant,
			r.Planned-r.Best, r.StandardError, gapClosed, r.Changes, dwell)
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

// smoothSeconds is how many seconds on either side the plotted loss is averaged over.
const smoothSeconds = 2

// Plot draws the prefill engines, and the requests lost, over time; two SVG files for each row into dir.
func Plot(dir string, rows []Row) error {
	for i := range rows {
		if err := rows[i].plot(dir); err != nil {
			return err
		}
	}
	return nil
}

func (r *Row) plot(dir string) error {
	var prefill, lost []chart.Line
	names := []string{"best fixed", "planned", "seeing"}
	for i, result := range []*Result{r.BestResult, r.PlannedResult, r.ClairvoyantResult} {
		engines := make([]float64, len(result.Prefill))
		for second, n := range result.Prefill {
			engines[second] = float64(n)
		}
		smooth := chart.Smooth(result.Lost, smoothSeconds)
		prefill = append(prefill, chart.Line{Name: names[i], X: chart.Indices(len(engines)), Y: engines})
		lost = append(lost, chart.Line{Name: names[i], X: chart.Indices(len(smooth)), Y: smooth})
	}
	base := filepath.Join(dir, strings.ReplaceAll(r.Scenario, " ", "-"))
	if err := chart.Save(base+"-readers.svg", r.Scenario, "seconds", "readers", prefill...); err != nil {
		return err
	}
	return chart.Save(base+"-lost.svg", r.Scenario, "seconds", "part lost, mean of 5 s", lost...)
}
