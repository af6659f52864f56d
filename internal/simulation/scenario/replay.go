package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RecordedRequest is one request of a recording, in a day's terms.
type RecordedRequest struct {
	At                time.Duration
	Class, Tenant     int
	Session, Prefix   string
	Prompt, PrefixLen float64 // tokens
	Out               int
	Stream            bool
}

// Blend puts recordings together, each taken so many times: a copy goes by sessions of its own, up to two seconds off,
// with the same shared beginnings; of a part of a time each request comes with that chance.
func Blend(seed uint64, lists [][]RecordedRequest, times []float64) []RecordedRequest {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var out []RecordedRequest
	for i, list := range lists {
		for copy := 0; float64(copy) < times[i]; copy++ {
			part := min(times[i]-float64(copy), 1)
			off := time.Duration(0)
			if copy > 0 {
				off = time.Duration(rnd.Float64() * float64(2*time.Second))
			}
			for _, q := range list {
				if part < 1 && rnd.Float64() >= part {
					continue
				}
				q.At += off
				if q.Session != "" && copy+i > 0 {
					q.Session = fmt.Sprintf("%s of %d.%d", q.Session, i, copy)
				}
				out = append(out, q)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b RecordedRequest) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Replay begins a course of recorded requests in place of drawn sessions. Each is a session of one turn, so that it comes
// when it came; what clients do beside it (retries, marks, hang-ups of happenings) is drawn as ever.
func (d *Scenario) Replay(list []RecordedRequest) *Arrivals {
	a := d.Arrivals()
	a.list, a.replay = list, true
	return a
}

// never is a gap longer than any day.
const never = 1000 * time.Hour

func (a *Arrivals) nextGap() time.Duration {
	if len(a.list) == 0 {
		return never
	}
	gap := max(a.list[0].At-a.at, 0)
	a.at = max(a.at, a.list[0].At)
	return gap
}

func (a *Arrivals) nextRecorded(s *Session, m *Conditions) {
	q := &a.list[0]
	a.list = a.list[1:]
	s.Class, s.Tenant, s.single = q.Class, q.Tenant, true
	if q.Session != "" {
		s.Key = q.Session
	}
	s.Stream = q.Stream
	if q.Prefix != "" && q.PrefixLen > 0 {
		s.Prefix = Text{[2]uint64{xxhash.Sum64String(q.Prefix), 7}, q.PrefixLen}
	}
	s.ask(m)
	s.Turns = []Text{{[2]uint64{s.seed, 10}, max(q.Prompt-q.PrefixLen, 1)}}
	s.Answer = q.Out
}
