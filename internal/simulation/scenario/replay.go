package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RecordedRequest is one request of a recording, assigned to a class and a tenant of a scenario.
type RecordedRequest struct {
	At                         time.Duration // from the start of the recording
	Class, Tenant              int           // indices; Tenant is -1 if the scenario has none
	Session, Prefix            string
	PromptTokens, PrefixTokens float64
	AnswerTokens               int
	Stream                     bool
}

// maxCopyOffset is the longest delay of a copy of a recording. The delay keeps the requests of different copies from
// arriving at the same times.
const maxCopyOffset = 2 * time.Second

// Merge merges recordings, with as many copies of each as its scale says. All copies but the first of a recording are
// delayed by up to maxCopyOffset. Each copy has its own sessions, but prefixes stay shared between copies. If a scale
// is not a whole number, its fractional part is the probability with which a request is in the last copy.
func Merge(seed uint64, recordings [][]RecordedRequest, scales []float64) []RecordedRequest {
	rnd := rand.New(rand.NewPCG(seed, mergeStream))
	var merged []RecordedRequest
	for i, recording := range recordings {
		for copyIndex := 0; float64(copyIndex) < scales[i]; copyIndex++ {
			keepProbability := min(scales[i]-float64(copyIndex), 1)
			offset := time.Duration(0)
			if copyIndex > 0 {
				offset = time.Duration(rnd.Float64() * float64(maxCopyOffset))
			}
			for _, request := range recording {
				if keepProbability < 1 && rnd.Float64() >= keepProbability {
					continue
				}
				request.At += offset
				if request.Session != "" && copyIndex+i > 0 {
					request.Session = fmt.Sprintf("%s of %d.%d", request.Session, i, copyIndex)
				}
				merged = append(merged, request)
			}
		}
	}
	slices.SortStableFunc(merged, func(a, b RecordedRequest) int { return cmp.Compare(a.At, b.At) })
	return merged
}

// Replay returns arrivals that replay recorded requests instead of drawing sessions. Each request is a session of one
// turn, so that it arrives at its recorded time. How its client retries, reads and disconnects is drawn as for other
// sessions.
func (s *Scenario) Replay(requests []RecordedRequest) *Arrivals {
	a := s.Arrivals()
	a.replayed = replayQueue{active: true, pending: requests}
	return a
}

// replayQueue is the state of Arrivals that replay a recording.
type replayQueue struct {
	active      bool
	pending     []RecordedRequest
	lastArrival time.Duration // time of the latest arrival
}

// noMoreArrivals is the gap after the last recorded request. It is longer than any scenario.
const noMoreArrivals = 1000 * time.Hour

func (r *replayQueue) nextGap() time.Duration {
	if len(r.pending) == 0 {
		return noMoreArrivals
	}
	gap := max(r.pending[0].At-r.lastArrival, 0)
	r.lastArrival = max(r.lastArrival, r.pending[0].At)
	return gap
}

// recordedPrefixStream is the PCG stream of the generated texts that stand for recorded prefixes.
const recordedPrefixStream = 7

// fillSession fills in a session from the next recorded request.
func (r *replayQueue) fillSession(s *Session, c *Conditions) {
	request := &r.pending[0]
	r.pending = r.pending[1:]
	s.Class, s.Tenant, s.isSingleTurn = request.Class, request.Tenant, true
	if request.Session != "" {
		s.Key = request.Session
	}
	s.Stream = request.Stream
	if request.Prefix != "" && request.PrefixTokens > 0 {
		s.Prefix = Text{[2]uint64{xxhash.Sum64String(request.Prefix), recordedPrefixStream}, request.PrefixTokens}
	}
	s.drawNextRequest(c)
	s.Messages = []Text{{[2]uint64{s.seed, firstMessageStream}, max(request.PromptTokens-request.PrefixTokens, 1)}}
	s.AnswerTokens = request.AnswerTokens
}
