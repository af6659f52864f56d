package routing

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// countShedWithPrefillTime sends one request a second, lets each prefill take the same time, and returns how many
// requests are shed on arrival.
func countShedWithPrefillTime(t *testing.T, h *harness, firstID RequestID, requests int, prefill time.Duration) int {
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

// TestSlowPrefillsShedLoad checks that load is shed when prefills take nearly the whole latency objective, so before
// answers miss it, and that shedding ends when prefills are fast again. With many replicas, a replica notices
// congestion of the prefill endpoints only by its own prefill times.
func TestSlowPrefillsShedLoad(t *testing.T) {
	config := testConfig()
	config.Replicas = 300
	h := newHarness(t, config, prefillEndpoint(1), decodeEndpoint(2))
	if shed := countShedWithPrefillTime(t, h, 1, 100, 400*ms); shed > 0 {
		t.Fatalf("%d requests shed while prefills take less than half of the latency objective", shed)
	}
	if shed := countShedWithPrefillTime(t, h, 101, 100, 950*ms); shed < 20 {
		t.Errorf("%d of 100 requests shed while prefills take nearly the whole latency objective, want at least 20", shed)
	}
	countShedWithPrefillTime(t, h, 201, 40, 10*ms)
	if shed := countShedWithPrefillTime(t, h, 241, 100, 10*ms); shed > 0 {
		t.Errorf("%d requests shed after 40 fast prefills", shed)
	}
}

// TestFastPrefillsEndShedding checks that fast prefills end shedding within 8 s from the minimum admission level, even
// if only one prefill ends per second.
func TestFastPrefillsEndShedding(t *testing.T) {
	for _, gap := range []time.Duration{50 * ms, 200 * ms, time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			now := time.Minute
			congestion := congestionController{shedFraction: 1 - minAdmissionLevel, observedAt: now}
			for now < time.Minute+8*time.Second {
				now += gap
				congestion.observe(now, 0.1)
			}
			if congestion.shedFraction > 0 {
				t.Errorf("shed fraction %.2f after 8 s of fast prefills, want 0", congestion.shedFraction)
			}
		})
	}
}

// TestSheddingEndsWithoutPrefills checks that shedding ends even if no prefill does. A replica that sheds most of its
// requests and gets one every few seconds has hardly any prefills that could show the end of the congestion.
func TestSheddingEndsWithoutPrefills(t *testing.T) {
	now := time.Minute
	congestion := congestionController{shedFraction: 1 - minAdmissionLevel, observedAt: now}
	if shed := congestion.shedFractionAt(now + 5*time.Second); shed < congestion.shedFraction {
		t.Errorf("shed fraction %.2f after 5 s without a prefill, want %.2f unchanged", shed, congestion.shedFraction)
	}
	if shed := congestion.shedFractionAt(now + 30*time.Second); shed > 0 {
		t.Errorf("shed fraction %.2f after 30 s without a prefill, want 0", shed)
	}
}

// TestReplicasConvergeOnShedFraction checks that replicas which see the same prefill times converge to the same shed
// fraction from different initial ones. If the admission level rose in proportion to itself, a replica with a low
// initial level would never catch up.
func TestReplicasConvergeOnShedFraction(t *testing.T) {
	shedsMost, shedsLeast := congestionController{shedFraction: 0.9}, congestionController{shedFraction: 0.1}
	now := time.Minute
	for i := range 240 {
		now += 500 * ms
		ratio := 0.1
		if i%4 == 0 {
			ratio = 1
		}
		shedsMost.observe(now, ratio)
		shedsLeast.observe(now, ratio)
	}
	if difference := math.Abs(shedsMost.shedFraction - shedsLeast.shedFraction); difference > 0.1 {
		t.Errorf("shed fractions %.2f and %.2f after two minutes, want a difference of at most 0.1",
			shedsMost.shedFraction, shedsLeast.shedFraction)
	}
}

// TestAdmissionProbabilityByLength checks for several length distributions and budgets that the admission probability
// does not rise with length inside a band of long prompts, and that the mean of each such band is at least half of the
// mean over all prompts.
func TestAdmissionProbabilityByLength(t *testing.T) {
	lengths := map[string]func(*rand.Rand) float64{
		"log-normal": func(rnd *rand.Rand) float64 { return 1000 * math.Exp(1.2*rnd.NormFloat64()) },
		"uniform":    func(rnd *rand.Rand) float64 { return 4000 * rnd.Float64() },
		"bimodal":    func(rnd *rand.Rand) float64 { return []float64{100, 20000}[rnd.Intn(2)] },
		"constant":   func(*rand.Rand) float64 { return 700 },
	}
	for name, length := range lengths {
		for _, budget := range []float64{20, 300, 2000, 50000} {
			t.Run(fmt.Sprintf("%s, budget %.0f", name, budget), func(t *testing.T) {
				rnd := rand.New(rand.NewSource(1))
				var l promptLengths
				for range 3 * maxRecentPrompts {
					l.add(length(rnd))
				}
				if len(l.sorted) != maxRecentPrompts || len(l.recent) != maxRecentPrompts {
					t.Fatalf("%d sorted and %d recent lengths kept, want %d", len(l.sorted), len(l.recent), maxRecentPrompts)
				}
				meanOfAll := 0.0
				for _, tokens := range l.sorted {
					meanOfAll += l.admissionProbability(tokens, budget) / maxRecentPrompts
				}
				for _, band := range []lengthBand{bandLong, bandLongest} {
					mean, before := 0.0, 1.0
					inBand := l.inBand(band)
					for _, tokens := range inBand {
						probability := l.admissionProbability(tokens, budget)
						if probability > before+1e-9 && l.band(tokens) == band {
							t.Errorf("a prompt of %.0f tokens is admitted with probability %.3f, a shorter one with %.3f",
								tokens, probability, before)
						}
						mean += probability / float64(len(inBand))
						before = probability
					}
					if len(inBand) > 0 && mean < meanOfAll/2 {
						t.Errorf("mean admission probability of band %d is %.3f, of all prompts %.3f", band, mean, meanOfAll)
					}
				}
			})
		}
	}
}

// TestQueueExpiryDoesNotRaiseShedFraction checks that requests given up in this replica's own queue do not cause
// shedding on arrival. They used no capacity of an endpoint, and the dispatch order makes them the longest prompts;
// shedding arrivals of every length would lose short prompts that could be answered in time.
func TestQueueExpiryDoesNotRaiseShedFraction(t *testing.T) {
	h := newHarness(t, testConfig(), prefillEndpoint(1), decodeEndpoint(2))
	h.fillPrefills(notIdempotentClass, 3000)
	for id := RequestID(1); id <= 20; id++ {
		h.advance(100*ms, h.request(id, idempotentClass, 8000))
	}
	rejects := actionsOf[Reject](h.advance(2 * time.Second))
	if len(rejects) == 0 {
		t.Fatal("no request was given up in the queue")
	}
	if fraction := h.router.admission.shedder.shedFraction; fraction > 0 {
		t.Errorf("%d requests given up in the queue raised the shed fraction to %.2f, want 0", len(rejects), fraction)
	}
}

// TestTimeoutsDoNotSpeedUpRecovery checks that timed-out prefills neither speed up recovery nor change the shed
// fraction. A prefill that timed out below the target ratio might have taken any time.
func TestTimeoutsDoNotSpeedUpRecovery(t *testing.T) {
	congestion := congestionController{shedFraction: 0.5, observedAt: time.Minute}
	now := time.Minute
	for range 20 {
		now += 100 * ms
		congestion.observe(now, targetPrefillRatio)
	}
	if congestion.belowTarget > 0 || congestion.shedFraction != 0.5 {
		t.Errorf("%d prefills below the target and shed fraction %.2f after time-outs alone, want 0 and 0.50",
			congestion.belowTarget, congestion.shedFraction)
	}
}
