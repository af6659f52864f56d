package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
)

// Range and precision of the histograms.
const (
	maxRecordedTime   = 5 * time.Minute
	significantDigits = 2
)

// maxGapsPerAttempt bounds the memory of one attempt's measurements. Further gaps are not recorded.
const maxGapsPerAttempt = 10000

// Class holds the results of one class as its clients saw them. The histograms are in microseconds.
type Class struct {
	scenario.Row
	FirstToken *hdrhistogram.Histogram `json:"-"` // time to the first token, from when the request should have been sent
	TokenGap   *hdrhistogram.Histogram `json:"-"` // time between two tokens of a response
	Completion *hdrhistogram.Histogram `json:"-"` // like FirstToken, but to the end of a served response
}

func newClass() Class {
	return Class{FirstToken: newHistogram(), TokenGap: newHistogram(), Completion: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// recordTime records a duration, clamped to the histogram's range.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue())) // fails only for values out of range
}

// gapRecorder measures the gaps between the tokens of one attempt.
type gapRecorder struct {
	lastTokenAt time.Time
	gaps        []time.Duration
}

// onToken is called when a token arrives.
func (g *gapRecorder) onToken() {
	now := time.Now()
	if !g.lastTokenAt.IsZero() && len(g.gaps) < maxGapsPerAttempt {
		g.gaps = append(g.gaps, now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
}

// attemptResult holds the outcome and the latencies of one attempt.
type attemptResult struct {
	session     *scenario.Session
	result      *client.Result
	gaps        []time.Duration
	isFinal     bool          // the client does not retry
	scheduledAt time.Time     // when the request should have been sent
	elapsed     time.Duration // from scheduledAt to the end of the attempt
}

// record adds an attempt to the run's measurements. Tokens, gaps and outcomes count for every attempt, the latencies of
// a request and its score only for its final one.
func (r *run) record(a attemptResult) {
	r.tokens.Add(int64(a.result.Tokens))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[a.result.Outcome]++
	class := &r.classes[a.session.Class]
	for _, gap := range a.gaps {
		recordTime(class.TokenGap, gap)
	}
	if !a.isFinal {
		return
	}
	if a.result.FirstToken > 0 {
		recordTime(class.FirstToken, a.result.FirstToken)
	}
	if a.result.Outcome == "served" {
		recordTime(class.Completion, a.elapsed)
	}
	r.score.Add(a.session, a.scheduledAt.Sub(r.startedAt), a.result.Outcome, a.result.FirstToken)
}
