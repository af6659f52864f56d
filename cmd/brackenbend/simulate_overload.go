package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/internal/simulation/overload"
)

func labOverloadCommand() *cobra.Command {
	p := overload.Plan{Runs: 3, Before: 8 * time.Second, For: 10 * time.Second, After: 15 * time.Second}
	var fronts int
	var loops bool
	var way, jsonFile string
	cmd := &cobra.Command{
		Use:   "overload [FILE]",
		Short: "Goodput against offered load, and how long service takes to come back",
		Long: `Play a day's fleet and clients at its rate, then at so many times it, then at its rate again. Tells the worth served a second
before and during the overload (its first fifth left out), the worst two seconds, and how long after its end three seconds in a
row reach 95% of the service before. What goes wrong in the day file goes wrong here too, at its times. --loops plays it
again with each loop that feeds a collapse cut: clients' retries, further attempts, refusing, time-outs, crowded readers.
--way plays a simple way of deciding as a yardstick.`,
		Example: "  brackenbend lab overload scenarios/simulation/size-74.xml --fronts 180 --base 0.6 --loads 1,2,5,10\n  brackenbend lab overload scenarios/simulation/size-74.xml --loads 5 --loops",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := loadDay(args)
			if err != nil {
				return err
			}
			for _, l := range p.Loads {
				if !(l > 0 && l <= 100) {
					return coded{fmt.Errorf("--loads: above 0, up to 100 each"), exitUsage}
				}
			}
			if p.Runs < 1 || p.Runs > 100 || !(p.Base > 0 && p.Base <= 10) || fronts < 0 || fronts > 10000 {
				return coded{fmt.Errorf("--runs: 1 to 100; --base: above 0, up to 10; --fronts: up to 10000"), exitUsage}
			}
			if p.Before+p.For+p.After > 10*time.Minute {
				return coded{fmt.Errorf("--before, --for and --after: 10 minutes at most together"), exitUsage}
			}
			if fronts > 0 {
				d.Fronts = fronts
			}
			side, err := compareSide(way, d, nil, false)
			if err != nil {
				return err
			}
			if side.Make == nil {
				return coded{fmt.Errorf("--way: choice, random, fewest, two-choices or a settings file"), exitUsage}
			}
			p.Day, p.Make, p.AtOnce = d, side.Make, runtime.GOMAXPROCS(0)
			if loops {
				p.Loops = overload.Loops
			}
			points, err := overload.Run(p)
			if err != nil {
				return coded{err, exitUsage}
			}
			if err := saveJSON(jsonFile, points); err != nil {
				return err
			}
			return overload.Write(cmd.OutOrStdout(), points)
		},
	}
	f := cmd.Flags()
	f.Float64SliceVar(&p.Loads, "loads", []float64{0.5, 1, 2, 5, 10, 20}, "offered loads, times the day's rate")
	f.Float64Var(&p.Base, "base", 1, "load before and after, times the day's rate")
	f.IntVar(&fronts, "fronts", 0, "number of fronts in place of the day's")
	f.DurationVar(&p.Before, "before", p.Before, "time at the day's rate")
	f.DurationVar(&p.For, "for", p.For, "time of overload")
	f.DurationVar(&p.After, "after", p.After, "time at the day's rate afterwards")
	f.IntVar(&p.Runs, "runs", p.Runs, "courses of each")
	f.BoolVar(&loops, "loops", false, "also with each loop cut")
	f.StringVar(&way, "way", "choice", "what decides")
	f.StringVar(&jsonFile, "json", "", "write all figures to this file")
	return cmd
}
