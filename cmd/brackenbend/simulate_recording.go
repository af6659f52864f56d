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
	// maxTrafficScale is the largest factor by which the traffic of a recording may be multiplied.
	maxTrafficScale = 100
	// maxConcurrentOffset is how much later than the first recording a recording begins, at least, that is taken as one
	// of another period.
	maxConcurrentOffset = 24 * time.Hour
)

// recordings are files of recorded traffic that replaces the clients of a scenario.
type recordings struct {
	specs []string // each FILE or FILE@TIMES
}

// scaledRecording is one recording and the factor by which its traffic is multiplied.
type scaledRecording struct {
	requests  []scenario.RecordedRequest
	scale     float64
	beginTime time.Time
}

func (r *recordings) addFlags(f *pflag.FlagSet) {
	f.StringSliceVar(&r.specs, "trace", nil, "recording whose traffic replaces the scenario's clients: FILE, or "+
		"FILE@TIMES for TIMES the traffic, such as monday.trace@3; several are merged")
}

// load reads the recordings and returns their requests, nil if there are no recordings. It extends the scenario to the
// length of the recordings.
func (r *recordings) load(sc *scenario.Scenario) ([]scenario.RecordedRequest, error) {
	if len(r.specs) == 0 {
		return nil, nil
	}
	var requestLists [][]scenario.RecordedRequest
	var scales []float64
	var beginTimes []time.Time
	for _, spec := range r.specs {
		recording, err := loadRecording(spec, sc)
		if err != nil {
			return nil, err
		}
		requestLists = append(requestLists, recording.requests)
		scales = append(scales, recording.scale)
		beginTimes = append(beginTimes, recording.beginTime)
	}
	alignBeginTimes(requestLists, beginTimes)
	mergedRequests := scenario.Merge(1, requestLists, scales)
	if len(mergedRequests) == 0 {
		return nil, exitError{fmt.Errorf("--trace: no requests in %s", strings.Join(r.specs, ", ")), exitConfig}
	}
	sc.Length = max(sc.Length, mergedRequests[len(mergedRequests)-1].At)
	return mergedRequests, nil
}

// loadRecording reads a recording given as FILE or FILE@TIMES.
func loadRecording(spec string, sc *scenario.Scenario) (r scaledRecording, err error) {
	file, scaleText, hasScale := strings.Cut(spec, "@")
	r.scale = 1
	if hasScale {
		r.scale, err = strconv.ParseFloat(scaleText, 64)
		if err != nil || !(r.scale > 0 && r.scale <= maxTrafficScale) {
			return r, usageErrorf("--trace %s: TIMES must be a number above 0 and at most %d", spec, maxTrafficScale)
		}
	}
	recordedTrace, err := readTrace(file)
	if err != nil {
		return r, err
	}
	recordedTrace.CloseGaps()
	r.beginTime = recordedTrace.Start
	if r.requests, err = recordedTrace.RecordedRequests(sc); err != nil {
		return r, exitError{fmt.Errorf("%s: %w", file, err), exitConfig}
	}
	return r, nil
}

// alignBeginTimes shifts recordings of the same period, such as those of several replicas, so that their requests have
// the same offsets to each other as when they were recorded. Recordings that began a day or more after the first are of
// another period and are not shifted: they begin with the scenario.
func alignBeginTimes(requestLists [][]scenario.RecordedRequest, beginTimes []time.Time) {
	firstBeginTime := slices.MinFunc(beginTimes, time.Time.Compare)
	for i, list := range requestLists {
		offset := beginTimes[i].Sub(firstBeginTime)
		if offset >= maxConcurrentOffset {
			continue
		}
		for k := range list {
			list[k].At += offset
		}
	}
}

// readTrace reads a recording and prints warnings of damage and gaps in it to standard error.
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
	for _, warning := range t.Warnings() {
		p.printf("%s: %s\n", file, warning)
	}
	return t, p.err
}

func simulateRecordCommand() *cobra.Command {
	var recordingFile string
	cmd := &cobra.Command{
		Use:   "record LOG...",
		Short: "Make a recording from the logs of replicas",
		Long: `Read the request lines of replicas' logs (in JSON, at level info) and write a recording, which other
commands take as --trace. It has for each request its time, class, tenant, session, shared prefix,
lengths and result, but no text. Several logs of one replica become parts of one recording, in the
order given.`,
		Example: "  brackenbend simulate record replica-1.log -o monday.trace",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if recordingFile == "" {
				return usageErrorf("-o is required: the file to write the recording to")
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
	cmd.Flags().StringVarP(&recordingFile, "out", "o", "", "write the recording to this `file`")
	return cmd
}

// recordLog adds the requests of one log to a recording and prints their number.
func recordLog(out io.Writer, recording *os.File, logFile string) error {
	f, err := os.Open(logFile)
	if err != nil {
		return err
	}
	requests, skipped, err := trace.FromLog(f, recording)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return exitError{fmt.Errorf("%s: %w", logFile, err), exitConfig}
	}
	_, err = fmt.Fprintf(out, "%s: %d requests, %d other lines\n", logFile, requests, skipped)
	return err
}

func simulateFitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "fit RECORDING",
		Short: "Fit the clients of a scenario to a recording",
		Long: "Print the rate and the attributes of <class> that make a scenario's clients most like the recorded ones, " +
			"and how well they fit.",
		Example: "  brackenbend simulate fit monday.trace",
		Args:    exactArgs(1),
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
