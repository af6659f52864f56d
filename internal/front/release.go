package front

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
)

// Releasing what reads left at engines. Where state goes by each attempt's id, each reader is told of its own; where it goes by
// the request's id, any engine that runs passes the word on, and it is given once no attempt is out.

const (
	releaseTargets = 8  // engines that are asked to release what a request holds, at most
	releaseSteps   = 10 // the next one is asked after this part of the release time without an answer
)

var errNoEngine = errors.New("front: no engine to release at")

// release releases what reads of fl left at readers. Each is told once its attempt has ended, so that the release can't
// overtake the read; releasing twice is harmless.
func (l *loop) release(fl *flight) {
	if !l.releases {
		return
	}
	if fl.mayHold = true; l.client.ByRequest {
		return // once, when no attempt is out
	}
	for _, att := range fl.attempts {
		if att.write || att.released {
			continue
		}
		att.released = true
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			<-att.ended
			att.release(l)
		}()
	}
}

// releaseUnclear releases what a flight that goes on may hold: its last attempt was a read of which nobody knows how it ended. The
// request may wait for long before it is read again, and what it holds must not. The next attempt waits until the word was given,
// which would take the state of the read that follows, too.
func (l *loop) releaseUnclear(fl *flight) {
	if !l.client.ByRequest || !l.releases || len(fl.attempts) == 0 {
		return
	}
	last := fl.attempts[len(fl.attempts)-1]
	if !last.unclear || last.released {
		return
	}
	last.released = true
	done := make(chan struct{})
	fl.releasing = done
	l.releaseAt(fl.name, l.releaseOrder([]*engine.Server{last.srv}), func() { close(done) })
}

// releaseAll releases what a flight that ends may have left anywhere: the module asked for it, or a read of which nobody knows
// how it ended came before the one that was written from.
func (l *loop) releaseAll(fl *flight) {
	if !l.client.ByRequest || !l.releases {
		return
	}
	var holders []*engine.Server // the latest first
	for i := len(fl.attempts) - 1; i >= 0; i-- {
		if a := fl.attempts[i]; !a.write && !a.unsent {
			fl.mayHold = fl.mayHold || a.unclear && !a.released
			holders = append(holders, a.srv)
		}
	}
	if fl.mayHold && len(holders) > 0 {
		l.releaseAt(fl.name, l.releaseOrder(holders), func() {})
	}
}

// releaseOrder is in which order engines are asked to release: those that hold the state, then the open ones that answered anything
// last.
func (l *loop) releaseOrder(holders []*engine.Server) []*engine.Server {
	var others []*engine.Server
	for _, s := range l.byID {
		if s.srv.IsOpen() && !slices.Contains(holders, s.srv) {
			others = append(others, s.srv)
		}
	}
	slices.SortFunc(others, func(a, b *engine.Server) int { return cmp.Compare(b.LastAnswer(), a.LastAnswer()) })
	order := append(holders, others...)
	return order[:min(len(order), releaseTargets)]
}

// releaseAt releases in a goroutine of its own and calls done after that.
func (l *loop) releaseAt(id string, servers []*engine.Server, done func()) {
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		defer done()
		l.releaseAtOne(id, servers)
	}()
}

// releaseAtOne has one of the servers release what id holds. Several may be lost, and each takes long to show it, so the next one is
// asked whenever the ones before have said nothing for a part of the time, or have failed.
func (l *loop) releaseAtOne(id string, servers []*engine.Server) {
	deadline := time.Now().Add(l.releaseTime())
	results := make(chan error, len(servers))
	calls := make([]engine.Attempt, len(servers))
	err, asked, out := errNoEngine, 0, 0
	for released := false; !released && (asked < len(servers) || out > 0); {
		if asked < len(servers) {
			call, server := &calls[asked], servers[asked]
			asked, out = asked+1, out+1
			go func() { results <- l.client.Release(call, server, id, deadline) }()
		}
		wait := time.Until(deadline) + time.Second // Release ends by itself
		if asked < len(servers) {
			wait = l.releaseTime() / releaseSteps
		}
		timer := time.NewTimer(wait)
		select {
		case err = <-results:
			out--
			released = err == nil
		case <-timer.C:
		}
		timer.Stop()
	}
	for i := range asked {
		calls[i].Cancel()
	}
	for ; out > 0; out-- {
		<-results
	}
	result := "done"
	if err != nil {
		result = "failed"
		l.f.log.Warn("read state not released", zap.String("request", id), zap.Int("engines_asked", asked), zap.Error(err))
	}
	l.f.m.Releases.WithLabelValues(result).Inc()
}

func (l *loop) releaseTime() time.Duration {
	if d := l.f.Choice.ReleaseWithin; d > 0 {
		return d
	}
	return 300 * time.Millisecond // choice.Settings.ReleaseWithin's own default
}
