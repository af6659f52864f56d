package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestColdServersStandTheSumOfAllFronts: servers that have just started get, from all fronts together and in any window of TipAfter, no
// more than N and what chance adds, N being what the settings allow a server of so much capacity; and they get work. Fronts share
// nothing: some see several times the mean of the traffic, some have restarted and forgot what they sent, and a burst comes on top; an eighth of
// the servers that have not just started may fail attempts, which are made again elsewhere.
func TestColdServersStandTheSumOfAllFronts(t *testing.T) {
	const (
		readers, writers = 12, 24
		window           = 1500 * time.Millisecond // TipAfter
		perWindow        = 120                     // requests, before the burst
		start            = 30 * time.Second
	)
	for _, fronts := range []int{3, 30, 300} {
		for name, k := range map[string]struct {
			cold    func(i int) bool
			forgets bool // half of the fronts
			bad     bool // an eighth of the others
		}{
			"a reader":                        {func(i int) bool { return i == 3 }, false, false},
			"a writer, fronts new":            {func(i int) bool { return i == 15 }, true, false},
			"half of the readers":             {func(i int) bool { return i < readers/2 }, false, false},
			"half of all, fronts new":         {func(i int) bool { return i%2 == 0 }, true, false},
			"all readers but one":             {func(i int) bool { return i < readers-1 }, false, false},
			"all writers but one, new fronts": {func(i int) bool { return i > readers }, true, false},
			"half of the readers, bad ones":   {func(i int) bool { return i < readers/2 }, false, true},
			"half of all, bad ones, new":      {func(i int) bool { return i%2 == 0 }, true, true},
			"a writer, bad ones":              {func(i int) bool { return i == 15 }, false, true},
		} {
			t.Run(fmt.Sprintf("%d fronts, %s", fronts, name), func(t *testing.T) {
				t.Parallel()
				s, servers := testConfig(), endpoints(readers, writers)
				f := newReplicaGroup(t, s, fronts, servers)
				prefix := func() uint64 { return uint64(f.rnd.Intn(200)) }
				rigs := f.harnesses // a tenth of the fronts gets four times what others get
				for i := range max(fronts/10, 1) {
					rigs = append(rigs, f.harnesses[i], f.harnesses[i], f.harnesses[i])
				}
				f.harnesses = rigs
				f.play(20*perWindow, start, prefix)
				for i := range servers {
					if k.cold(i) {
						servers[i].StartedAt = time.Minute + start
					}
				}
				fresh := map[*harness]bool{}
				for i, h := range f.harnesses {
					if k.forgets && i%2 == 1 && !fresh[h] {
						r, err := New(func() Config { s := s; s.Replicas = fronts; return s }(), rand.New(rand.NewSource(int64(i))).Uint64())
						if err != nil {
							t.Fatal(err)
						}
						*h = harness{t: t, router: r}
					}
					fresh[h] = true
					h.now = time.Minute + start
					h.step(EndpointList{Scope: ListFull, Endpoints: servers})
				}
				if k.bad {
					f.failing = map[EndpointID]bool{}
					for i := range servers {
						f.failing[servers[i].ID] = i%8 == 7 && !k.cold(i)
					}
				}
				total := 0
				for w := range 6 {
					f.sends = map[EndpointID]int{}
					n := perWindow
					if w > 1 {
						n = perWindow * 3 / 2
					}
					f.playFrom(n, start+time.Duration(w)*window, window, prefix)
					for i, e := range servers {
						if !k.cold(i) {
							continue
						}
						total += f.sends[e.ID]
						of := float64(readers)
						if f.roles[e.ID] == RoleDecode {
							of = writers
						}
						present := s.SlowStartFrom + (1-s.SlowStartFrom)*float64(w)*window.Seconds()/s.SlowStartFor.Seconds() // at the window's start
						limit := s.OverloadFactor * present * float64(n) / of
						if limit += 2*math.Sqrt(limit) + 2; float64(f.sends[e.ID]) > limit {
							t.Errorf("window %d: server %d got %d, %.0f at most", w, e.ID, f.sends[e.ID], limit)
						}
					}
				}
				if k.bad && f.retries == 0 {
					t.Error("there were no further attempts")
				}
				if total == 0 {
					t.Error("no work for those that have just started")
				}
			})
		}
	}
}
