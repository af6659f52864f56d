package main

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/forecast"
	"brackenbend/internal/simulation/scenario"
)

// loadDay reads a day file, or the default day where there is none.
func loadDay(args []string) (*scenario.Day, error) {
	if len(args) == 0 {
		return scenario.Default()
	}
	d, err := scenario.Load(args[0])
	if err != nil {
		return nil, configError(err)
	}
	return d, nil
}

func labDayCommand() *cobra.Command {
	var seconds float64
	var seed uint64
	var rec recording
	var clients int
	var jsonFile string
	rules, shards := true, 1
	cmd := &cobra.Command{
		Use:   "day [FILE]",
		Short: "Play a day in simulated time",
		Long: `Play a day file in simulated time: fronts decide by the daemon's own module, engines are the stand-ins' model, clients draw
as on sockets, and the five rules are judged from all that passed. The same seed gives the same result. The exit code is 4
when a rule is broken.`,
		Example: "  brackenbend lab day\n  brackenbend lab day scenarios/mass-restart.xml --seed 7\n  brackenbend lab day big.xml --rules=false --shards 4",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := loadDay(args)
			if err != nil {
				return err
			}
			if seconds > 0 {
				if err := d.Scale(time.Duration(seconds * float64(time.Second))); err != nil {
					return coded{err, exitUsage}
				}
			}
			if cmd.Flags().Changed("clients") {
				d.Seed = clients
			}
			traffic, err := rec.load(d)
			if err != nil {
				return err
			}
			if shards < 1 || shards > 64 {
				return coded{fmt.Errorf("--shards: 1 to 64"), exitUsage}
			}
			began := time.Now()
			r, err := fleet.Run(d, fleet.Options{Seed: seed, Audit: rules, Shards: shards, Traffic: traffic})
			if err != nil {
				return err
			}
			took := time.Since(began)
			out := cmd.OutOrStdout()
			if err := saveJSON(jsonFile, forecast.Sum(r)); err != nil {
				return err
			}
			fmt.Fprintf(out, "simulated: service %.3f, worst 10 s %.3f, over %v\n\n", r.Score.Service(), r.Score.Worst(10), d.Length)
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "CLASS\tREQUESTS\tSERVICE\tSERVED\tLATE\tREFUSED\tFAILED\tBROKEN\tLEFT\tLOST\tTRIES\tFIRST P50\tP99")
			classes, tenants := r.Score.Rows()
			asked := 0
			for _, c := range append(classes, tenants...) {
				fmt.Fprintf(w, "%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f ms\t%.0f ms\n", c.Name, c.Requests, c.Service, c.Served, c.Late, c.Refused,
					c.Failed, c.Broken, c.Left, c.Lost, c.Tries, c.FirstP50, c.FirstP99)
			}
			for _, c := range classes {
				asked += c.Requests
			}
			if err := w.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(out, "\n%d reads and %d writes reached engines, %.0f state tokens moved\n", r.Attempts["read"], r.Attempts["write"], r.Moved)
			for _, what := range slices.Sorted(maps.Keys(r.Ends)) {
				fmt.Fprintf(out, "  %d %s\n", r.Ends[what], what)
			}
			breaches := 0
			for i, v := range r.Rules {
				fmt.Fprintf(out, "rule %d, %s: %d checks, %d breaches (%s)\n", i+1, v.Rule, v.Checks, len(v.Violations), v.WorstCase)
				for _, b := range v.Violations[:min(len(v.Violations), 10)] {
					fmt.Fprintf(out, "  %s\n", b)
				}
				breaches += len(v.Violations)
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			fmt.Fprintf(os.Stderr, "%d events in %v: %.0f a second, %.0f us a request, %d MiB\n", r.Events, took.Round(time.Millisecond), float64(r.Events)/took.Seconds(),
				float64(took.Microseconds())/float64(max(asked, 1)), m.Sys>>20)
			if breaches > 0 {
				return coded{fmt.Errorf("lab day: %d breaches", breaches), exitBreach}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Float64Var(&seconds, "seconds", 0, "scale the day to last so long")
	f.Uint64Var(&seed, "seed", 0, "of everything but the clients' draws, which are the day's")
	rec.flags(f)
	f.IntVar(&clients, "clients", 0, "seed of the clients' draws in place of the day's")
	f.StringVar(&jsonFile, "json", "", "write a summary to this file")
	f.BoolVar(&rules, "rules", true, "judge the rules, which keeps all that passed in memory")
	f.IntVar(&shards, "shards", 1, "parts of the fleet played side by side; the result is the same")
	return cmd
}
