package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"brackenbend/internal/simulation/ablation"
)

func labCausesCommand() *cobra.Command {
	p := ablation.Plan{Runs: 6, Level: 0.95}
	var jsonFile string
	cmd := &cobra.Command{
		Use:   "causes [FILE]",
		Short: "Tell apart what fronts lose by being many",
		Long: `Play a day at several numbers of fronts: as it is, with each of the laboratory's oracles alone, with all, and with all but one.
An oracle gives fronts one thing that they can't know: what all fronts have at readers or writers, which engines do harm, what
cold engines can take together; or takes one of their cares away: refusing, and time-outs at engines that are sound. "without X"
is what is won by the oracle against X alone, "only X" what X costs where nothing else is in the way.`,
		Example: "  brackenbend lab causes scenarios/simulation/size-74.xml --fronts 3,30,180",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := loadDay(args)
			if err != nil {
				return err
			}
			for _, n := range p.Fronts {
				if n < 1 || n > 10000 {
					return coded{fmt.Errorf("--fronts: 1 to 10000 each"), exitUsage}
				}
			}
			if p.Runs < 3 || p.Runs > 100 || !(p.Level > 0 && p.Level < 1) {
				return coded{fmt.Errorf("--runs: 3 to 100; --level: between 0 and 1"), exitUsage}
			}
			p.Day, p.AtOnce = d, runtime.GOMAXPROCS(0)
			sizes, err := ablation.Run(p)
			if err != nil {
				return err
			}
			if err := saveJSON(jsonFile, sizes); err != nil {
				return err
			}
			return ablation.Write(cmd.OutOrStdout(), sizes)
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&p.Fronts, "fronts", []int{3, 30, 180}, "numbers of fronts")
	f.IntVar(&p.Runs, "runs", p.Runs, "courses of each, with clients of their own")
	f.Float64Var(&p.Level, "level", p.Level, "of the bars")
	f.StringVar(&jsonFile, "json", "", "write all figures to this file")
	return cmd
}
