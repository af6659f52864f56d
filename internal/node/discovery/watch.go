package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// minOlderReplies is how many replies in a row must be older than what was delivered for the last one, a complete list,
// to be accepted: discovery has gone back then. A single one may come from a replica that lags behind, and would bring
// back engines that were told to drain.
const minOlderReplies = 2

var (
	errPartialList = errors.New("discovery: some changes in answer to a call for the whole list")
	errConnClosed  = errors.New("discovery: it closed the connection")
)

// Run lists and watches until ctx ends. Every new connection begins with the complete list, since changes may have been
// lost. A call is open at all times but for the backoff after one that failed at once; a call that timed out has waited
// long enough.
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
		if !outage { // logged once for each outage
			w.Log("discovery unreachable, keeping the last endpoint list", err)
		}
		outage = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-addressCtx.Done():
		case <-time.After(w.backoff(rnd)):
		}
	}
}

// listAndWatch lists and then watches over one connection until that fails. It calls onReply after each good reply.
func (w *Watcher) listAndWatch(ctx context.Context, address string, onReply func()) error {
	c, err := w.openList(ctx, address)
	if err != nil {
		return err
	}
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	for complete := true; ; complete = false {
		text, reusable, err := w.readReply(c)
		if err != nil {
			return err
		}
		list, err := Parse(text)
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
		if err := w.requestWatch(c, list.Revision); err != nil {
			return err
		}
	}
}

// deliver delivers a list; complete means that the complete one was requested. After an error the complete list must be
// requested again.
func (w *Watcher) deliver(list *List, address string, complete bool) error {
	if err := w.position.check(list, address); err != nil {
		return err
	}
	update, err := list.Update()
	if err != nil {
		return err
	}
	if list.Complete || len(list.Members) > 0 {
		w.OnUpdate(update)
	}
	if complete && !list.Complete { // what it says holds, but what else changed is not known
		return errPartialList
	}
	w.position.advance(list)
	return nil
}

// position is how far the list was followed.
type position struct {
	address      string // that the revision is from
	revision     int64  // newest that was delivered
	olderReplies int    // replies in a row with an older one
}

// check rejects a list that is older than what was delivered from the same address.
func (p *position) check(list *List, address string) error {
	if address != p.address {
		*p = position{address: address}
	}
	if list.Revision >= p.revision {
		return nil
	}
	p.olderReplies++
	if !list.Complete || p.olderReplies < minOlderReplies {
		return fmt.Errorf("discovery: revision %d after %d", list.Revision, p.revision)
	}
	return nil
}

// advance takes the revision of a list that was delivered.
func (p *position) advance(list *List) { p.revision, p.olderReplies = list.Revision, 0 }
