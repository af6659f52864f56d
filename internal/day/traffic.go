package day

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/standin/client"
)

// traffic is the day's clients.
type traffic struct {
	r     *run
	rnd   *rand.Rand
	seq   atomic.Int64
	end   time.Time     // no turn begins after it
	open  chan struct{} // bounds clients at once
	wg    sync.WaitGroup
	mu    sync.Mutex
	class []tally
	ten   []tally
}

// tally counts requests: a request is a client's first try with its retries.
type tally struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Broken   int     `json:"broken"`
	Left     int     `json:"hung_up"`
	Lost     int     `json:"lost"` // cut off or never connected
	Tries    int     `json:"tries"`
	Worth    float64 `json:"worth"`
	Asked    float64 `json:"asked"`
	firsts   []time.Duration
}

func newTraffic(r *run) *traffic {
	t := &traffic{r: r, rnd: rand.New(rand.NewPCG(uint64(r.d.Seed), 2)), open: make(chan struct{}, 4000)}
	for _, c := range r.d.Classes {
		t.class = append(t.class, tally{Name: c.Name})
	}
	for _, n := range r.d.Tenants {
		t.ten = append(t.ten, tally{Name: n.Name})
	}
	return t
}

// play lets sessions begin at their rate until the day is over, and waits for their ends.
func (t *traffic) play(ctx context.Context, began time.Time) {
	end := began.Add(t.r.d.Length)
	t.end = end
	turns := 0.0
	for _, c := range t.r.d.Classes {
		turns += c.Share * c.Turns
	}
	for now := began; ; {
		t.r.mu.Lock()
		rate := float64(t.r.d.Rate) / turns * t.r.surge
		t.r.mu.Unlock()
		now = now.Add(time.Duration(t.rnd.ExpFloat64() / rate * float64(time.Second)))
		if now.After(end) || !sleepUntil(ctx, now) {
			break
		}
		t.session()
	}
	t.wg.Wait()
}

// draw picks an index by shares.
func draw(u float64, n int, share func(int) float64) int {
	for i := range n {
		if u -= share(i); u < 0 {
			return i
		}
	}
	return n - 1
}

func text(rnd *rand.Rand, tokens float64) string {
	var b strings.Builder
	for b.Len() < int(tokens*4) {
		fmt.Fprintf(&b, "%07x ", rnd.Uint32()>>4)
	}
	return b.String()
}

// session begins one conversation in a goroutine of its own, with draws that do not depend on others' times.
func (t *traffic) session() {
	rnd := rand.New(rand.NewPCG(t.rnd.Uint64(), 3))
	d := t.r.d
	shares, all := make([]float64, len(d.Classes)), 0.0
	t.r.mu.Lock()
	for i, c := range d.Classes {
		shares[i] = c.Share
		if v, ok := t.r.mix[c.Name]; ok {
			shares[i] *= v
		}
		all += shares[i]
	}
	t.r.mu.Unlock()
	ci := draw(rnd.Float64(), len(d.Classes), func(i int) float64 { return shares[i] / all })
	ti := -1
	if len(d.Tenants) > 0 {
		ti = draw(rnd.Float64(), len(d.Tenants), func(i int) float64 { return d.Tenants[i].Share })
	}
	select {
	case t.open <- struct{}{}:
	default: // the bound on clients; none begins
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		defer func() { <-t.open }()
		t.converse(rnd, ci, ti)
	}()
}

func (t *traffic) converse(rnd *rand.Rand, ci, ti int) {
	c := &t.r.d.Classes[ci]
	id := t.seq.Add(1)
	base := client.Try{Class: audit.Class(c.Effect), ClassName: c.Name, Session: fmt.Sprintf("s%d", id), MaxTokens: int(c.Answer) * 3,
		Stream: rnd.Float64() >= c.Whole, Wait: c.Deadline}
	if ti >= 0 {
		base.Tenant = t.r.d.Tenants[ti].Name
	}
	t.r.mu.Lock()
	hot, longPart, longBy := t.r.hot, t.r.longPart, t.r.longBy
	if t.r.longClass != "" && t.r.longClass != c.Name {
		longPart = 0
	}
	t.r.mu.Unlock()
	switch {
	case rnd.Float64() < hot:
		base.System = text(rand.New(rand.NewPCG(99, 99)), float64(c.Beginning)+2000)
	case rnd.Float64() < c.Shared: // five shared texts a class, the first the most asked for
		base.System = text(rand.New(rand.NewPCG(uint64(ci), uint64(rnd.ExpFloat64()*1.5)%5)), float64(c.Beginning))
	}
	for turn := 0; ; turn++ {
		n := float64(c.Prompt) * (0.3 + 1.4*rnd.Float64())
		if rnd.Float64() < longPart {
			n *= longBy
		}
		base.Turns = append(base.Turns, text(rnd, n))
		base.Answer = max(1, int(float64(c.Answer)*(0.3+1.4*rnd.Float64())))
		res := t.ask(rnd, base, fmt.Sprintf("%d.%d", id, turn), ci, ti)
		if time.Now().After(t.end) || res.Kind != "served" || rnd.Float64()*c.Turns < 1 || len(base.Turns) > 20 {
			return
		}
		base.Turns = append(base.Turns, text(rnd, float64(base.Answer)))
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(500*time.Millisecond)))
	}
}

// ask sends a request with the retries of its client. One half are programs on a published SDK, which repeats by
// itself and marks it: whatever has no answer, 429 and 5xx, unless it is told not to. The other half is careful and
// marks nothing: after a refusal any class, after an unknown end only what may be repeated.
func (t *traffic) ask(rnd *rand.Rand, try client.Try, effect string, ci, ti int) client.Result {
	try.Effect = effect
	if try.Class == audit.Keyed {
		try.Key = fmt.Sprintf("key-%d-%s", t.r.d.Seed, effect)
	}
	t.r.mu.Lock()
	if rnd.Float64() < t.r.hangUps {
		try.HangUp = time.Duration(rnd.Float64() * float64(time.Second))
	}
	if rnd.Float64() < t.r.slow {
		try.SlowBy = 50 * time.Millisecond
	}
	t.r.mu.Unlock()
	try.Marked = rnd.Float64() < 0.5
	began := time.Now()
	tries, connects := 0, 0
	var res client.Result
	for {
		tries++
		try.ID = fmt.Sprintf("%s/%d", effect, tries)
		front := t.r.fronts[rnd.IntN(len(t.r.fronts))]
		before := time.Since(began)
		res = client.Do(&try, front.name, front.addr, t.r.rec)
		if res.First > 0 {
			res.First += before
		}
		again, wait := false, time.Duration(0)
		switch res.Kind {
		case "unconnected":
			connects++
			again, wait = connects <= 20, 100*time.Millisecond
			tries--
		case "refused", "turned":
			again, wait = !try.Marked || !res.HandUp, res.Wait
		case "failed", "cut":
			again = try.Class != audit.Unsafe
			if try.Marked {
				again = !res.HandUp
			}
		}
		if res.Kind != "unconnected" {
			again = again && tries <= t.r.d.Service.Retries
			try.Repeats++
		}
		if !again || time.Since(began) > try.Wait {
			break
		}
		time.Sleep(wait)
	}
	t.count(ci, ti, &try, res, tries)
	return res
}

func (t *traffic) count(ci, ti int, try *client.Try, res client.Result, tries int) {
	c := &t.r.d.Classes[ci]
	prompt := len(try.System)
	for _, s := range try.Turns {
		prompt += len(s)
	}
	aim := c.Aim + time.Duration(float64(prompt)/4/1000*float64(c.AimPer1000))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range []*tally{&t.class[ci], t.tenant(ti)} {
		if v == nil {
			continue
		}
		v.Requests++
		v.Tries += tries
		if res.Kind != "hung up" {
			v.Asked += c.Worth
		}
		switch res.Kind {
		case "served":
			v.Served++
			v.firsts = append(v.firsts, res.First)
			if !try.Stream || res.First <= aim { // a whole answer is judged by its coming, not by its first token
				v.Worth += c.Worth
			} else {
				v.Late++
				v.Worth += c.Worth * c.LateWorth
			}
		case "refused", "turned":
			v.Refused++
		case "failed", "invalid", "none":
			v.Failed++
		case "broken":
			v.Broken++
		case "hung up":
			v.Left++
		default:
			v.Lost++
		}
	}
}

func (t *traffic) tenant(i int) *tally {
	if i < 0 {
		return nil
	}
	return &t.ten[i]
}
