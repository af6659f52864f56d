package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RecordedRequest is one request of a recording, in terms of a scenario.
type RecordedRequest struct {
	At                time.Duration
	Class, Tenant     int
	Session, Prefix   string
	Prompt, PrefixLen float64 // tokens
	Out               int
	Stream            bool
}

// maxCopyOffset bounds the delay of a copy of a recording, so that copies do not arrive in step.
const maxCopyOffset = 2 * time.Second

// Blend merges recordings, each repeated a number of times. A copy has sessions of its own and is delayed by up to
// maxCopyOffset; its prefixes stay shared. The fraction of a number is the chance that a request is in the last copy.
func Blend(seed uint64, lists [][]RecordedRequest, times []float64) []RecordedRequest {
	rnd := rand.New(rand.NewPCG(seed, streamBlend))
	var out []RecordedRequest
	for i, list := range lists {
		for copied := 0; float64(copied) < times[i]; copied++ {
			part := min(times[i]-float64(copied), 1)
			offset := time.Duration(0)
			if copied > 0 {
				offset = time.Duration(rnd.Float64() * float64(maxCopyOffset))
			}
			for _, request := range list {
				if part < 1 && rnd.Float64() >= part {
					continue
				}
				request.At += offset
				if request.Session != "" && copied+i > 0 {
					request.Session = fmt.Sprintf("%s of %d.%d", request.Session, i, copied)
				}
				out = append(out, request)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b RecordedRequest) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Replay returns arrivals of recorded requests in place of drawn sessions. Each is a session of one turn, so that it
// arrives when it was recorded; retries, marks and hang-ups of clients are drawn as for other sessions.
func (s *Scenario) Replay(list []RecordedRequest) *Arrivals {
	a := s.Arrivals()
	a.recorded = recorded{replay: true, pending: list}
	return a
}

// recorded is the part of Arrivals that replays a recording.
type recorded struct {
	replay  bool
	pending []RecordedRequest
	at      time.Duration // of the last arrival
}

// never is a gap longer than any scenario.
const never = 1000 * time.Hour

func (r *recorded) nextGap() time.Duration {
	if len(r.pending) == 0 {
		return never
	}
	gap := max(r.pending[0].At-r.at, 0)
	r.at = max(r.at, r.pending[0].At)
	return gap
}

// recordedPrefixStream is the stream of the texts of recorded prefixes.
const recordedPrefixStream = 7

// next fills a session with the next recorded request.
func (r *recorded) next(s *Session, c *Conditions) {
	request := &r.pending[0]
	r.pending = r.pending[1:]
	s.Class, s.Tenant, s.single = request.Class, request.Tenant, true
	if request.Session != "" {
		s.Key = request.Session
	}
	s.Stream = request.Stream
	if request.Prefix != "" && request.PrefixLen > 0 {
		s.Prefix = Text{[2]uint64{xxhash.Sum64String(request.Prefix), recordedPrefixStream}, request.PrefixLen}
	}
	s.nextRequest(c)
	s.Turns = []Text{{[2]uint64{s.seed, firstTurnStream}, max(request.Prompt-request.PrefixLen, 1)}}
	s.Answer = request.Out
}
