package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"brackenbend/internal/scenariorun"
	"brackenbend/internal/simulation/scenario"
)

func dayCommand() *cobra.Command {
	var seconds float64
	var jsonFile, record, keep, plots, foresee string
	var quiet bool
	cmd := &cobra.Command{
		Use:   "day [FILE]",
		Short: "Play a scripted bad day against real fronts and audit the five rules",
		Long: `Play a scripted day: register and engines are stand-ins in this process, fronts are processes of their own that are
killed and restarted, clients speak over sockets. The rules are judged from what passed on the sockets. Without FILE it is
the default bad day. The exit code is 4 when a rule is broken, or never checked.`,
		Example: "  brackenbend day\n  brackenbend day --seconds 20 --json report.json\n  brackenbend day scenarios/mass-restart.xml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := scenario.Default()
			if len(args) == 1 {
				d, err = scenario.Load(args[0])
			}
			if err != nil {
				return configError(err)
			}
			if seconds > 0 {
				if err := d.Scale(time.Duration(seconds * float64(time.Second))); err != nil {
					return coded{err, exitUsage}
				}
			}
			o := scenariorun.Options{Dir: keep}
			if o.Binary, err = os.Executable(); err != nil {
				return err
			}
			if keep == "" {
				if o.Dir, err = os.MkdirTemp("", "brackenbend-day-"); err != nil {
					return err
				}
				defer os.RemoveAll(o.Dir)
			}
			if err := os.MkdirAll(o.Dir, 0o755); err != nil {
				return err
			}
			if foresee != "" {
				if o.Foreseen, err = foreseen(foresee); err != nil {
					return coded{err, exitUsage}
				}
			}
			if !quiet {
				o.Log = cmd.ErrOrStderr()
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			rep, err := scenariorun.Run(ctx, d, o)
			if err != nil {
				return err
			}
			rep.WriteText(cmd.OutOrStdout())
			if plots != "" {
				if err := os.MkdirAll(plots, 0o755); err != nil {
					return err
				}
				if err := rep.Plot(plots); err != nil {
					return err
				}
			}
			if jsonFile != "" {
				if err := writeFile(jsonFile, func(f *os.File) error { return rep.WriteJSON(f) }); err != nil {
					return err
				}
			}
			if record != "" {
				err := writeFile(record, func(f *os.File) error {
					enc := json.NewEncoder(f)
					for _, e := range rep.Events {
						if err := enc.Encode(e); err != nil {
							return err
						}
					}
					return nil
				})
				if err != nil {
					return err
				}
			}
			if n := rep.Breaches(); n > 0 {
				return coded{fmt.Errorf("day: %d breaches", n), exitBreach}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Float64Var(&seconds, "seconds", 0, "scale the day to last so long")
	f.StringVar(&jsonFile, "json", "", "write the report to this file as JSON")
	f.StringVar(&plots, "plots", "", "folder for plots of service, and of roles, over time (SVG)")
	f.StringVar(&foresee, "foresee", "", "report of an earlier run of a day whose engines change role (--json): roles follow the cheapest course for the work seen then")
	f.StringVar(&record, "record", "", "write what passed on the sockets to this file, a JSON line an event")
	f.StringVar(&keep, "keep", "", "folder that keeps the fronts' settings, lists and logs")
	f.BoolVarP(&quiet, "quiet", "q", false, "do not print what happens while it happens")
	return cmd
}

// foreseen reads the work over time from a day's report.
func foreseen(path string) ([]scenariorun.RoleSecond, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rep scenariorun.Report
	if err := json.Unmarshal(text, &rep); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(rep.Roles) == 0 {
		return nil, fmt.Errorf("%s: its engines do not change role; make it with a day that has a planner, and --json", path)
	}
	return rep.Roles, nil
}

func writeFile(path string, write func(*os.File) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = write(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}
