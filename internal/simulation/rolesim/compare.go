package rolesim

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"brackenbend/internal/simulation/chart"
	"brackenbend/roles"
)

// Scenarios are all that comparisons play.
func Scenarios(engines int) []Scenario {
	all := []Scenario{Steady(engines), Shift(engines)}
	for _, p := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute} {
		all = append(all, Swing(engines, p))
	}
	return append(all, Surge(engines), MassRestart(engines))
}

// Row compares the policies on one scenario, over several seeds.
type Row struct {
	Scenario                         string
	BestReaders                      int // of the best fixed split, by the first seed
	Best, Half, Planned, Seeing      float64
	Spread                           float64 // of Planned-Best over the seeds: standard error of the mean
	Changes                          float64 // of the planner, a run
	Shortest                         time.Duration
	Requests                         int
	LastBest, LastPlanned, LastSeing *Result // of the first seed, for plots
}

// Toward is the part of the distance from the best fixed split to the one that sees the future; NaN where there is none.
func (r *Row) Toward() float64 {
	if r.Seeing-r.Best < 0.002 {
		return math.NaN()
	}
	return (r.Planned - r.Best) / (r.Seeing - r.Best)
}

// Compare plays the scenarios with every policy, side by side on the same traffic; several at once.
func Compare(scenarios []Scenario, seeds, atOnce int, set roles.Config) []Row {
	rows := make([]Row, len(scenarios))
	room := make(chan struct{}, max(atOnce, 1))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		wg.Add(1)
		go func() {
			defer wg.Done()
			room <- struct{}{}
			defer func() { <-room }()
			rows[i] = compare(s, seeds, set)
		}()
	}
	wg.Wait()
	return rows
}

func compare(s Scenario, seeds int, set roles.Config) Row {
	r := Row{Scenario: s.Name}
	var gains []float64
	for seed := range seeds {
		s.Seed = uint64(seed + 1)
		var best *Result
		if seed == 0 {
			r.BestReaders, best = BestFixed(s)
		} else {
			best = Run(s, Fixed(r.BestReaders))
		}
		half := Run(s, Fixed(s.Engines/2))
		planned := Run(s, &Planned{Readers: s.Engines / 2, Settings: set})
		seeing := bestSeeing(s, best)
		if seed == 0 {
			r.LastBest, r.LastPlanned, r.LastSeing = best, planned, seeing
		}
		n := float64(seeds)
		r.Best, r.Half, r.Planned, r.Seeing = r.Best+best.Service()/n, r.Half+half.Service()/n, r.Planned+planned.Service()/n, r.Seeing+seeing.Service()/n
		r.Changes += float64(planned.Changes) / n
		if planned.Shortest > 0 && (r.Shortest == 0 || planned.Shortest < r.Shortest) {
			r.Shortest = planned.Shortest
		}
		r.Requests += planned.Asked
		gains = append(gains, planned.Service()-best.Service())
	}
	mean, sum := 0.0, 0.0
	for _, g := range gains {
		mean += g / float64(len(gains))
	}
	for _, g := range gains {
		sum += (g - mean) * (g - mean)
	}
	if n := float64(len(gains)); n > 1 {
		r.Spread = math.Sqrt(sum / (n - 1) / n)
	}
	return r
}

// bestSeeing is the best of a few who see the future with other prices, and of the best fixed split, which they also see.
func bestSeeing(s Scenario, fixed *Result) *Result {
	best := fixed
	for _, price := range []float64{2, 10, 40} {
		if r := Run(s, &Clairvoyant{Price: price}); r.Service() > best.Service() {
			best = r
		}
	}
	return best
}

// WriteTable prints rows for people.
func WriteTable(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tBEST FIXED\tHALF\tPLANNED\tSEEING\tPLANNED-BEST\tTOWARD SEEING\tCHANGES\tSHORTEST STAY")
	for _, r := range rows {
		toward, stay := "", ""
		if t := r.Toward(); !math.IsNaN(t) {
			toward = fmt.Sprintf("%.0f%%", 100*t)
		}
		if r.Shortest > 0 {
			stay = r.Shortest.Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%.4f (%d)\t%.4f\t%.4f\t%.4f\t%+.4f ±%.4f\t%s\t%.1f\t%s\n", r.Scenario, r.Best, r.BestReaders, r.Half, r.Planned, r.Seeing,
			r.Planned-r.Best, r.Spread, toward, r.Changes, stay)
	}
	return w.Flush()
}

// Plot draws the readers wanted, and what was lost, over time; one SVG for each row into dir.
func Plot(dir string, rows []Row) error {
	for i := range rows {
		r := &rows[i]
		var readers, lost []chart.Line
		for j, res := range []*Result{r.LastBest, r.LastPlanned, r.LastSeing} {
			name, n := []string{"best fixed", "planned", "seeing"}[j], make([]float64, len(res.Readers))
			for k, v := range res.Readers {
				n[k] = float64(v)
			}
			readers = append(readers, chart.Line{Name: name, X: chart.Seconds(len(n)), Y: n})
			lost = append(lost, chart.Line{Name: name, X: chart.Seconds(len(res.Lost)), Y: chart.Smooth(res.Lost, 2)})
		}
		base := filepath.Join(dir, strings.ReplaceAll(r.Scenario, " ", "-"))
		if err := chart.Save(base+"-readers.svg", r.Scenario, "seconds", "readers", readers...); err != nil {
			return err
		}
		if err := chart.Save(base+"-lost.svg", r.Scenario, "seconds", "part lost, mean of 5 s", lost...); err != nil {
			return err
		}
	}
	return nil
}
