package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// shedWhilePrefillsTake lets requests come, each prefilled in a time, and returns how many are shed on arrival.
func shedWhilePrefillsTake(t *testing.T, h *harness, firstID RequestID, requests int, prefill time.Duration) int {
	t.Helper()
	shed := 0
	for id := firstID; id < firstID+RequestID(requests); id++ {
		actions := h.advance(time.Second, h.request(id, idempotentClass, 500))
		if len(actionsOf[Reject](actions)) > 0 {
			shed++
			continue
		}
		onlyAction[Send](t, actions)
		onlyAction[Send](t, h.prefilled(id, 1, prefill))
		h.firstToken(id, 1, 2, ms)
		h.end(Served, id, 1, 2, ms)
	}
	return shed
}

// TestPrefillTimesShedLoad: a replica of many sees the congestion of prefill endpoints only by how long its own
// prefills take. It must shed before answers come after their objective, and end when prefills are fast again.
func TestPrefillTimesShedLoad(t *testing.T) {
	config := testConfig()
	config.Replicas = 300
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	if shed := shedWhilePrefillsTake(t, h, 1, 100, 400*ms); shed > 0 {
		t.Fatalf("%d shed while prefills take less than half of the objective", shed)
	}
	if shed := shedWhilePrefillsTake(t, h, 101, 100, 950*ms); shed < 20 {
		t.Errorf("%d of 100 shed while prefills take nearly all of the objective", shed)
	}
	shedWhilePrefillsTake(t, h, 201, 40, 10*ms)
	if shed := shedWhilePrefillsTake(t, h, 241, 100, 10*ms); shed > 0 {
		t.Errorf("%d shed after prefills were fast for long", shed)
	}
}

// TestCongestionEndsSoon: from the least that is admitted, fast prefills end the shedding within 8 s, also where one
// ends in a second.
func TestCongestionEndsSoon(t *testing.T) {
	for _, gap := range []time.Duration{50 * ms, 200 * ms, time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			now := time.Minute
			congestion := prefillCongestion{shed: 1 - minAdmissionLevel, observedAt: now}
			for now < time.Minute+8*time.Second {
				now += gap
				congestion.observe(now, 0.1)
			}
			if congestion.shed > 0 {
				t.Errorf("%.2f still shed after 8 s of fast prefills", congestion.shed)
			}
		})
	}
}

// TestSheddingEndsWithoutPrefills: where nearly all is shed and a request comes in seconds, hardly a prefill ends; the
// end of the congestion must not wait for one.
func TestSheddingEndsWithoutPrefills(t *testing.T) {
	now := time.Minute
	congestion := prefillCongestion{shed: 1 - minAdmissionLevel, observedAt: now}
	if shed := congestion.shedAt(now + 5*time.Second); shed < congestion.shed {
		t.Errorf("%.2f shed after 5 s, want %.2f as before", shed, congestion.shed)
	}
	if shed := congestion.shedAt(now + 30*time.Second); shed > 0 {
		t.Errorf("%.2f still shed after 30 s without a prefill", shed)
	}
}

// TestCongestionLevelsMeet: replicas that see the same prefill times end at the same level, wherever they began.
// Steps in proportion to the level, both ways, leave those that had a bad start behind for good.
func TestCongestionLevelsMeet(t *testing.T) {
	low, high := prefillCongestion{shed: 0.9}, prefillCongestion{shed: 0.1}
	now := time.Minute
	for i := range 240 {
		now += 500 * ms
		objectives := 0.1
		if i%4 == 0 {
			objectives = 1
		}
		low.observe(now, objectives)
		high.observe(now, objectives)
	}
	if apart := math.Abs(low.shed - high.shed); apart > 0.1 {
		t.Errorf("levels of shedding %.2f and %.2f after two minutes", low.shed, high.shed)
	}
}

// TestAdmissionByLength: whatever the lengths and the budget, a longer prompt of a band has no larger chance than a
// shorter one, and each band of long prompts has at least half of the mean chance.
func TestAdmissionByLength(t *testing.T) {
	lengths := map[string]func(*rand.Rand) float64{
		"log-normal": func(rnd *rand.Rand) float64 { return 1000 * math.Exp(1.2*rnd.NormFloat64()) },
		"uniform":    func(rnd *rand.Rand) float64 { return 4000 * rnd.Float64() },
		"two kinds":  func(rnd *rand.Rand) float64 { return []float64{100, 20000}[rnd.Intn(2)] },
		"all alike":  func(*rand.Rand) float64 { return 700 },
	}
	for name, length := range lengths {
		for _, budget := range []float64{20, 300, 2000, 50000} {
			t.Run(fmt.Sprintf("%s, budget %.0f", name, budget), func(t *testing.T) {
				rnd := rand.New(rand.NewSource(1))
				var l promptLengths
				for range 3 * recentPrompts {
					l.add(length(rnd))
				}
				if len(l.sorted) != recentPrompts || len(l.recent) != recentPrompts {
					t.Fatalf("%d and %d lengths kept, want %d", len(l.sorted), len(l.recent), recentPrompts)
				}
				all := 0.0
				for _, tokens := range l.sorted {
					all += l.admission(tokens, budget) / recentPrompts
				}
				for _, band := range []lengthBand{bandLong, bandLongest} {
					mean, before := 0.0, 1.0
					inBand := l.ofBand(band)
					for _, tokens := range inBand {
						chance := l.admission(tokens, budget)
						if chance > before+1e-9 && l.band(tokens) == band {
							t.Errorf("a prompt of %.0f tokens has chance %.3f, shorter ones %.3f", tokens, chance, before)
						}
						mean += chance / float64(len(inBand))
						before = chance
					}
					if len(inBand) > 0 && mean < all/2 {
						t.Errorf("band %d has the mean chance %.3f, all have %.3f", band, mean, all)
					}
				}
			})
		}
	}
}

// TestQueueTimeIsNotShedOnArrival: a request that is given up in this replica's own queue has taken nothing of an
// endpoint, and the dispatch order has shed the longest already. To shed arrivals for it, whatever their length, costs
// short prompts that would be in time.
func TestQueueTimeIsNotShedOnArrival(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	h.fillPrefills(notIdempotentClass, 3000)
	for id := RequestID(1); id <= 20; id++ {
		h.advance(100*ms, h.request(id, idempotentClass, 8000))
	}
	rejects := actionsOf[Reject](h.advance(2 * time.Second))
	if len(rejects) == 0 {
		t.Fatal("nothing was given up in the queue")
	}
	if fraction := h.router.admission.shedder.fraction; fraction > 0 {
		t.Errorf("%d were given up in the queue, and %.2f of arrivals are shed for it", len(rejects), fraction)
	}
}

// TestTimeoutsAreNotCalm: a prefill that is given up before half of its objective may have taken any time. It does not
// speed up the end of shedding.
func TestTimeoutsAreNotCalm(t *testing.T) {
	congestion := prefillCongestion{shed: 0.5, observedAt: time.Minute}
	now := time.Minute
	for range 20 {
		now += 100 * ms
		congestion.observe(now, congestionTarget)
	}
	if congestion.calm > 0 || congestion.shed != 0.5 {
		t.Errorf("%d calm prefills, %.2f shed after time-outs alone, want 0.50 as before", congestion.calm, congestion.shed)
	}
}
