// Package discovery lists and watches the platform's engines through the discovery agent on the node's machine. It
// requests the complete list first and then long-polls for the changes since a revision. It neither tracks the health
// of engines nor keeps the list, which it passes to OnUpdate.
//
// list.go holds the list and its conversion, watch.go the list-and-watch loop, conn.go the connections and requests.
// The goroutine of Watcher.Run owns the state and calls OnUpdate. It starts a goroutine for each attempt to get the
// complete list and waits for all of them to end.
package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"brackenbend/internal/endpointslice"
)

// Watcher lists and watches engines. Its exported fields must be set before Run is called.
type Watcher struct {
	OnUpdate         func(endpointslice.Update) // called from Run's goroutine only
	Log              func(msg string, err error)
	WatchTimeout     time.Duration // how long the agent may hold a watch without a change
	ConnectTimeout   time.Duration // for a connection to be established
	FirstByteTimeout time.Duration // after which a request without a reply is repeated; for a watch, added to WatchTimeout
	ResponseTimeout  time.Duration // for the rest of a reply whose first byte has arrived
	MaxBackoff       time.Duration // after a failed request
	MaxListBytes     int64         // of the body of a reply
	Seed             uint64        // of the backoff's jitter: nodes that lost one agent must not reconnect together

	revisions revisionTracker // owned by Run's goroutine

	dial func(ctx context.Context, address string) (net.Conn, error) // nil = TCP

	mu             sync.Mutex // guards the fields below
	address        string
	cancelRequests context.CancelFunc // cancels the requests to the current address; nil = no requests yet
}

// MaxListRequests is how many requests for the complete list may be in flight at once. Each is sent when the previous
// one has got no reply within FirstByteTimeout. Slow replies can thus still be used, and a lost request causes no long
// delay.
const MaxListRequests = 3

// MaxStaleness returns the longest time for which a change may go unnoticed while the discovery agent is reachable. In
// the worst case, a watch hangs: it gets no reply, or its reply stalls after the first byte. Then one connection
// attempt times out, and finally the list takes all the time that it is given.
func (w *Watcher) MaxStaleness() time.Duration {
	hangingWatch := max(w.WatchTimeout+w.FirstByteTimeout, w.ResponseTimeout)
	failedConnect := w.ConnectTimeout + w.MaxBackoff
	slowList := w.ConnectTimeout + MaxListRequests*w.FirstByteTimeout + w.ResponseTimeout
	return hangingWatch + failedConnect + slowList
}

// SetAddress sets the address of the discovery agent. If it differs from the current one, requests to the current
// address are canceled immediately.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.cancelRequests != nil {
		w.cancelRequests()
	}
}

// currentAddress returns the address and a context that ends when the address changes.
func (w *Watcher) currentAddress(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelRequests != nil {
		w.cancelRequests()
	}
	ctx, w.cancelRequests = context.WithCancel(ctx)
	return ctx, w.address
}

// backoff returns the delay after a failed request, drawn uniformly from MaxBackoff/2 to MaxBackoff.
func (w *Watcher) backoff(rnd *rand.Rand) time.Duration {
	half := w.MaxBackoff / 2
	return half + time.Duration(rnd.Int64N(int64(half)+1))
}
