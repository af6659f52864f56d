package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// minStaleReplies is how many replies in a row must have a revision below the delivered one before the agent is taken
// to have gone back to an earlier revision. The last of them is then accepted if it is a complete list. A single stale
// reply may come from a discovery replica that lags behind, and applying it would make draining engines ready again.
const minStaleReplies = 2

// emptyWatchPause is the pause after a watch that was answered early with nothing new. A watch goes on where the next
// one comes within 200 ms.
const emptyWatchPause = 100 * time.Millisecond

var (
	errPartialList = errors.New("discovery: agent returned changes instead of the complete list")
	errConnClosed  = errors.New("discovery: agent closed the connection")
)

// Run lists and watches until ctx ends. Each new connection starts with the complete list, since changes may have been
// lost. There is always a request or a connection attempt in flight, except during the backoff after a failure. No
// backoff follows a request that timed out, since the timeout was delay enough.
func (w *Watcher) Run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(w.Seed, 1))
	outage := false
	for ctx.Err() == nil {
		addressCtx, address := w.currentAddress(ctx)
		err := w.listAndWatch(addressCtx, address, func() { outage = false })
		addressChanged := addressCtx.Err() != nil
		if ctx.Err() != nil {
			return
		}
		if addressChanged {
			continue
		}
		if !outage { // logs each outage once
			w.Log("discovery unreachable, keeping the last endpoint list", err)
		}
		outage = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		pause(addressCtx, w.backoff(rnd)) // addressCtx ends with ctx, too
	}
}

// listAndWatch lists and then watches over one connection until a request fails. It calls onReply after each valid
// reply.
func (w *Watcher) listAndWatch(ctx context.Context, address string, onReply func()) error {
	c, err := w.requestList(ctx, address)
	if err != nil {
		return err
	}
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	revision := int64(0) // of the last reply
	for complete := true; ; complete = false {
		content, reusable, err := w.readReply(c)
		if err != nil {
			return err
		}
		list, err := Parse(content)
		if err != nil {
			return err
		}
		if err := w.deliver(list, address, complete); err != nil {
			return err
		}
		onReply()
		if !reusable {
			return errConnClosed
		}
		if !complete && w.answeredEarly(c, list, revision) {
			pause(ctx, emptyWatchPause)
		}
		revision = list.Revision
		if err := w.requestWatch(c, revision); err != nil {
			return err
		}
	}
}

// answeredEarly reports whether the last watch on c, since a revision, was answered with nothing new, in less than half
// of the time that it may wait.
func (w *Watcher) answeredEarly(c *conn, list *List, revision int64) bool {
	return len(list.Members) == 0 && list.Revision == revision && time.Since(c.watchSentAt) < w.WatchTimeout/2
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// deliver passes a list to OnUpdate. completeRequested says that the complete list was requested. After an error, the
// complete list must be requested again.
func (w *Watcher) deliver(list *List, address string, completeRequested bool) error {
	if err := w.revisions.check(list, address); err != nil {
		return err
	}
	update, err := list.Update()
	if err != nil {
		return err
	}
	if list.Complete || len(list.Members) > 0 {
		w.OnUpdate(update)
	}
	if completeRequested && !list.Complete { // the changes are valid, but others may be missing
		return errPartialList
	}
	w.revisions.advance(list)
	return nil
}

// revisionTracker tracks the revision up to which the list is known.
type revisionTracker struct {
	address      string // of the agent that sent the revision
	revision     int64  // of the last delivered list
	staleReplies int    // consecutive replies with a lower revision
}

// check rejects a list that is older than the one delivered last from the same address.
func (p *revisionTracker) check(list *List, address string) error {
	if address != p.address {
		*p = revisionTracker{address: address}
	}
	if list.Revision >= p.revision {
		return nil
	}
	p.staleReplies++
	if !list.Complete || p.staleReplies < minStaleReplies {
		return fmt.Errorf("discovery: revision %d is older than the current revision %d", list.Revision, p.revision)
	}
	return nil
}

// advance records the revision of a delivered list.
func (p *revisionTracker) advance(list *List) { p.revision, p.staleReplies = list.Revision, 0 }
