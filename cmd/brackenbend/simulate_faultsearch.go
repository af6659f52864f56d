package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"brackenbend/internal/simulation/faultsearch"
	"brackenbend/internal/simulation/forecast"
)

func labHuntCommand() *cobra.Command {
	var against, out string
	h := faultsearch.Hunt{Troubles: 4, Rounds: 12, Draws: 24}
	cmd := &cobra.Command{
		Use:   "hunt [DAY] [SUBJECT]",
		Short: "Look for the troubles under which a setting does worst, or breaks a rule",
		Long: `Draw and change lists of troubles for a day's fleet and clients (its own troubles are put aside), play them in simulated time,
keep the worst, and cut it down to what is needed. A broken rule counts before any loss. SUBJECT is "choice", a settings
file, or a baseline, as for compare; with --against another of them the loss is counted from what that reaches. What is
found is written as a day file, which real fronts can play (brackenbend day FILE). The exit code is 4 when a rule broke.`,
		Example: "  brackenbend lab hunt scenarios/crash.xml --against fewest -o worst.xml\n  brackenbend lab hunt scenarios/crash.xml next.xml --rounds 40",
		Args:    cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if h.Troubles < 1 || h.Troubles > 20 || h.Rounds < 1 || h.Rounds > 10000 || h.Draws < 4 || h.Draws > 1000 {
				return coded{fmt.Errorf("--troubles: 1 to 20; --rounds: 1 to 10000; --draws: 4 to 1000"), exitUsage}
			}
			d, err := loadDay(args[:min(len(args), 1)])
			if err != nil {
				return err
			}
			what := "choice"
			if len(args) == 2 {
				what = args[1]
			}
			side := func(what string) (forecast.Side, error) { return compareSide(what, d, nil, false) }
			subject, err := side(what)
			if err != nil {
				return err
			}
			h.Day, h.Subject, h.AtOnce = d, subject.Make, runtime.GOMAXPROCS(0)
			if against != "" {
				yard, err := side(against)
				if err != nil {
					return err
				}
				h.Yard = yard.Make
			}
			h.Told = func(round int, best faultsearch.Found) {
				fmt.Fprintf(os.Stderr, "round %d: lost %.4f, %d breaches\n", round+1, best.Lost(), best.Breaches)
			}
			f, err := faultsearch.Run(h)
			if err != nil {
				return err
			}
			note := fmt.Sprintf("found by a hunt: %s %.3f, against %.3f; %d breaches (simulated)", what, f.Subject, f.Yard, f.Breaches)
			_, text, err := d.With(f.Happens, note)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%s, %d lists played\n", note, f.Tried)
			for i := range f.Happens {
				fmt.Fprintln(w, "  "+f.Happens[i].XML())
			}
			if out != "" {
				if err := os.WriteFile(out, text, 0o644); err != nil {
					return err
				}
			}
			if f.Breaches > 0 {
				return coded{fmt.Errorf("lab hunt: a rule broke"), exitBreach}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&against, "against", "", "what the loss is counted from: choice, a settings file, or a baseline; none = full service")
	f.StringVarP(&out, "out", "o", "", "day file to write")
	f.IntVar(&h.Troubles, "troubles", h.Troubles, "at most, at once or one after the other")
	f.IntVar(&h.Rounds, "rounds", h.Rounds, "of changing the worst")
	f.IntVar(&h.Draws, "draws", h.Draws, "lists a round")
	f.Uint64Var(&h.Seed, "seed", 1, "of the hunt")
	return cmd
}
