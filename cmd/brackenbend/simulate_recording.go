package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"brackenbend/internal/simulation/scenario"
	"brackenbend/internal/simulation/trace"
)

// recording is traffic that was recorded, in place of a day's drawn clients.
type recording struct {
	files []string
}

func (r *recording) flags(f *pflag.FlagSet) {
	f.StringSliceVar(&r.files, "trace", nil, "recording that is played in place of the day's drawn clients, FILE or FILE@TIMES (3 = three times the traffic); several are blended")
}

// load reads the recordings; nil without any. The day lasts as long as they do.
func (r *recording) load(d *scenario.Day) ([]scenario.Recorded, error) {
	if len(r.files) == 0 {
		return nil, nil
	}
	var lists [][]scenario.Recorded
	var times []float64
	var begins []time.Time
	for _, arg := range r.files {
		file, by, scaled := strings.Cut(arg, "@")
		n := 1.0
		if scaled {
			var err error
			if n, err = strconv.ParseFloat(by, 64); err != nil || !(n > 0 && n <= 100) {
				return nil, coded{fmt.Errorf("--trace %s: write FILE@TIMES with a number up to 100", arg), exitUsage}
			}
		}
		t, err := readTrace(file)
		if err != nil {
			return nil, err
		}
		t.CloseGaps()
		list, err := t.Recorded(d)
		if err != nil {
			return nil, coded{fmt.Errorf("%s: %w", file, err), exitConfig}
		}
		lists, times, begins = append(lists, list), append(times, n), append(begins, t.Begin)
	}
	together(lists, begins)
	all := scenario.Blend(1, lists, times)
	if len(all) == 0 {
		return nil, coded{fmt.Errorf("--trace: no requests in %s", strings.Join(r.files, ", ")), exitConfig}
	}
	d.Length = max(d.Length, all[len(all)-1].At)
	return all, nil
}

// together moves recordings of one time, as of several fronts, to where they stood beside each other; those that began
// over a day after the first are played from their beginnings.
func together(lists [][]scenario.Recorded, begins []time.Time) {
	first := slices.MinFunc(begins, time.Time.Compare)
	for i, list := range lists {
		if off := begins[i].Sub(first); off < 24*time.Hour {
			for k := range list {
				list[k].At += off
			}
		}
	}
}

func readTrace(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := trace.Read(f)
	if err != nil {
		return nil, coded{fmt.Errorf("%s: %w", file, err), exitConfig}
	}
	for _, note := range t.Notes() {
		fmt.Fprintf(os.Stderr, "%s: %s\n", file, note)
	}
	return t, nil
}

func labRecordCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "record LOG...",
		Short: "Make a recording of fronts' logs",
		Long: `Read the request lines of fronts' logs (JSON, level info) and write a recording: when requests came, their class, tenant,
session, shared beginning and lengths, and what became of them; no text. Logs of one front go one after the other into
parts of one recording, in the order given.`,
		Example: "  brackenbend lab record front-1.log -o monday.trace",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if out == "" {
				return coded{fmt.Errorf("-o: the recording's file is needed"), exitUsage}
			}
			return writeFile(out, func(w *os.File) error {
				for _, name := range args {
					f, err := os.Open(name)
					if err != nil {
						return err
					}
					n, skipped, err := trace.FromLog(f, w)
					f.Close()
					if err != nil {
						return coded{fmt.Errorf("%s: %w", name, err), exitConfig}
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %d requests, %d other lines\n", name, n, skipped)
				}
				return nil
			})
		},
	}
	cmd.Flags().StringVarP(&out, "out", "o", "", "file to write")
	return cmd
}

func labFitCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "fit RECORDING",
		Short:   "Find the synthetic clients that come nearest to a recording",
		Long:    "Print the rate and the attributes of <class> that a day file needs for clients like the recorded ones, and how well they fit.",
		Example: "  brackenbend lab fit monday.trace",
		Args:    exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := readTrace(args[0])
			if err != nil {
				return err
			}
			f, err := trace.Fit(t)
			if err != nil {
				return coded{err, exitConfig}
			}
			return f.WriteText(cmd.OutOrStdout())
		},
	}
}
