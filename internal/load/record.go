package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
)

// Range and precision of recorded times.
const (
	maxRecordedTime   = 5 * time.Minute
	significantDigits = 2
)

// maxGapsPerAttempt bounds the memory of one attempt's measurements.
const maxGapsPerAttempt = 10000

// Class is what clients of one class saw. Times are in microseconds.
type Class struct {
	scenario.Row
	FirstToken *hdrhistogram.Histogram `json:"-"` // from when the request should have been sent
	TokenGap   *hdrhistogram.Histogram `json:"-"` // between tokens
	Complete   *hdrhistogram.Histogram `json:"-"` // to the end of responses that were served
}

func newClass() Class {
	return Class{FirstToken: newHistogram(), TokenGap: newHistogram(), Complete: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// recordTime records a time, moved into the histogram's range.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), h.HighestTrackableValue())) // fails only out of range
}

// gapRecorder measures the gaps between the tokens of one attempt.
type gapRecorder struct {
	last time.Time
	gaps []time.Duration
}

// token is called as each token comes.
func (g *gapRecorder) token() {
	now := time.Now()
	if !g.last.IsZero() && len(g.gaps) < maxGapsPerAttempt {
		g.gaps = append(g.gaps, now.Sub(g.last))
	}
	g.last = now
}

// attempt is what was measured of one attempt.
type attempt struct {
	session     *scenario.Session
	result      *client.Result
	gaps        []time.Duration
	final       bool          // the client does not retry
	requestedAt time.Time     // when the request should have been sent
	elapsed     time.Duration // since then
}

// record adds an attempt to the run's measurements.
func (r *run) record(a attempt) {
	r.tokens.Add(int64(a.result.Tokens))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[a.result.Kind]++
	class := &r.classes[a.session.Class]
	for _, gap := range a.gaps {
		recordTime(class.TokenGap, gap)
	}
	if !a.final {
		return
	}
	if a.result.FirstToken > 0 {
		recordTime(class.FirstToken, a.result.FirstToken)
	}
	if a.result.Kind == "served" {
		recordTime(class.Complete, a.elapsed)
	}
	r.score.Add(a.session, a.requestedAt.Sub(r.began), a.result.Kind, a.result.FirstToken)
}
