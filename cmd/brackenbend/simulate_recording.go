package main

import (
	"fmt"
	"io"
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

const (
	// maxTrafficScale is the most by which the traffic of a recording may be multiplied.
	maxTrafficScale = 100
	// sameTimeWithin is how far recordings may begin apart and still be of one time.
	sameTimeWithin = 24 * time.Hour
)

// recordings name recorded traffic that is played in place of a scenario's drawn clients.
type recordings struct {
	files []string // FILE or FILE@TIMES
}

// scaledRecording is one recording and how many times its traffic is played.
type scaledRecording struct {
	requests []scenario.RecordedRequest
	scale    float64
	begin    time.Time
}

func (r *recordings) addFlags(f *pflag.FlagSet) {
	f.StringSliceVar(&r.files, "trace", nil, "recording that is played in place of the scenario's drawn clients, FILE or "+
		"FILE@TIMES (3 = three times the traffic); several are blended")
}

// load reads the recordings, nil without any, and makes the scenario last as long as they do.
func (r *recordings) load(played *scenario.Scenario) ([]scenario.RecordedRequest, error) {
	if len(r.files) == 0 {
		return nil, nil
	}
	var lists [][]scenario.RecordedRequest
	var scales []float64
	var begins []time.Time
	for _, arg := range r.files {
		recording, err := loadRecording(arg, played)
		if err != nil {
			return nil, err
		}
		lists = append(lists, recording.requests)
		scales = append(scales, recording.scale)
		begins = append(begins, recording.begin)
	}
	alignBegins(lists, begins)
	all := scenario.Blend(1, lists, scales)
	if len(all) == 0 {
		return nil, exitError{fmt.Errorf("--trace: no requests in %s", strings.Join(r.files, ", ")), exitConfig}
	}
	played.Length = max(played.Length, all[len(all)-1].At)
	return all, nil
}

// loadRecording reads a recording given as FILE or FILE@TIMES.
func loadRecording(arg string, played *scenario.Scenario) (r scaledRecording, err error) {
	file, times, scaled := strings.Cut(arg, "@")
	r.scale = 1
	if scaled {
		r.scale, err = strconv.ParseFloat(times, 64)
		if err != nil || !(r.scale > 0 && r.scale <= maxTrafficScale) {
			return r, usageErrorf("--trace %s: write FILE@TIMES with a number up to %d", arg, maxTrafficScale)
		}
	}
	t, err := readTrace(file)
	if err != nil {
		return r, err
	}
	t.CloseGaps()
	r.begin = t.Begin
	if r.requests, err = t.RecordedRequests(played); err != nil {
		return r, exitError{fmt.Errorf("%s: %w", file, err), exitConfig}
	}
	return r, nil
}

// alignBegins moves recordings of one time, as of several replicas, to where they stood beside each other; those that
// began over a day after the first are played from their beginnings.
func alignBegins(lists [][]scenario.RecordedRequest, begins []time.Time) {
	first := slices.MinFunc(begins, time.Time.Compare)
	for i, list := range lists {
		offset := begins[i].Sub(first)
		if offset >= sameTimeWithin {
			continue
		}
		for k := range list {
			list[k].At += offset
		}
	}
}

// readTrace reads a recording and prints what its reader notes of it on standard error.
func readTrace(file string) (t *trace.Trace, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	t, err = trace.Read(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, exitError{fmt.Errorf("%s: %w", file, err), exitConfig}
	}
	p := printer{out: os.Stderr}
	for _, note := range t.Warnings() {
		p.printf("%s: %s\n", file, note)
	}
	return t, p.err
}

func simulateRecordCommand() *cobra.Command {
	var recordingFile string
	cmd := &cobra.Command{
		Use:   "record LOG...",
		Short: "Make a recording of replicas' logs",
		Long: `Read the request lines of replicas' logs (JSON, level info) and write a recording: when requests
came, their class, tenant, session, shared prefix and lengths, and what became of them; no text.
Logs of one replica go one after the other into parts of one recording, in the order given.`,
		Example: "  brackenbend simulate record replica-1.log -o monday.trace",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if recordingFile == "" {
				return usageErrorf("-o: the recording's file is needed")
			}
			return writeFile(recordingFile, func(recording *os.File) error {
				for _, log := range args {
					if err := recordLog(cmd.OutOrStdout(), recording, log); err != nil {
						return err
					}
				}
				return nil
			})
		},
	}
	cmd.Flags().StringVarP(&recordingFile, "out", "o", "", "file to write")
	return cmd
}

// recordLog adds the requests of one log to a recording and prints how many there were.
func recordLog(out io.Writer, recording *os.File, log string) error {
	f, err := os.Open(log)
	if err != nil {
		return err
	}
	requests, skipped, err := trace.FromLog(f, recording)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return exitError{fmt.Errorf("%s: %w", log, err), exitConfig}
	}
	_, err = fmt.Fprintf(out, "%s: %d requests, %d other lines\n", log, requests, skipped)
	return err
}

func simulateFitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "fit RECORDING",
		Short: "Find the synthetic clients that come nearest to a recording",
		Long: "Print the rate and the attributes of <class> that a scenario file needs for clients like the recorded ones, " +
			"and how well they fit.",
		Example: "  brackenbend simulate fit monday.trace",
		Args:    exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := readTrace(args[0])
			if err != nil {
				return err
			}
			fitted, err := trace.Fit(t)
			if err != nil {
				return exitError{err, exitConfig}
			}
			return fitted.WriteText(cmd.OutOrStdout())
		},
	}
}
