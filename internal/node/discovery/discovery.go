// Package discovery lists and watches the platform's engines at the discovery agent of the node's machine: the complete
// list first, then long polls for what changes since a revision. It knows nothing of the engines' health and stores
// nothing on disk; the gateway keeps the list.
//
// list.go holds the list and its conversion, watch.go the list-and-watch loop, conn.go the connections and requests.
// The goroutine of Watcher.Run owns the state and calls OnUpdate; it starts up to MaxOpenCalls more, each for one
// connection attempt, and waits for their end.
package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"brackenbend/internal/endpointslice"
)

// Watcher lists and watches engines. Its exported fields are set before Run.
type Watcher struct {
	OnUpdate         func(endpointslice.Update) // called from Run's goroutine only
	Log              func(msg string, err error)
	WatchTimeout     time.Duration // how long discovery may hold a watch without a change
	ConnectTimeout   time.Duration // for a connection to be established
	FirstByteTimeout time.Duration // for a reply to begin, beyond the watch timeout, until the request is repeated
	ResponseTimeout  time.Duration // for a reply that has begun to be complete
	MaxBackoff       time.Duration // after a failed call
	MaxListBytes     int64         // of one reply
	Seed             uint64        // of the random backoff, so that nodes that lost one discovery come back spread out

	position position // owned by Run's goroutine

	dial func(ctx context.Context, address string) (net.Conn, error) // nil = TCP

	mu          sync.Mutex // guards what follows
	address     string
	cancelCalls context.CancelFunc // ends the calls to the present address; nil = there are none yet
}

// MaxOpenCalls is how many requests for the complete list may be open at once. Each is sent when the one before it got
// no reply within FirstByteTimeout, so that a slow reply is not lost and a lost request delays nothing.
const MaxOpenCalls = 3

// MaxStaleness is the longest that a change may go unnoticed while discovery can be reached, whatever happens to the
// calls: a watch falls silent as it begins, just before the change, or in the middle of its reply; then one connection
// is not established, and the list takes all its time.
func (w *Watcher) MaxStaleness() time.Duration {
	silentWatch := max(w.WatchTimeout+w.FirstByteTimeout, w.ResponseTimeout)
	failedConnect := w.ConnectTimeout + w.MaxBackoff
	slowList := w.ConnectTimeout + MaxOpenCalls*w.FirstByteTimeout + w.ResponseTimeout
	return silentWatch + failedConnect + slowList
}

// SetAddress sets the address of discovery. Calls to another address end at once.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.cancelCalls != nil {
		w.cancelCalls()
	}
}

// currentAddress returns the address and a context that ends when it changes.
func (w *Watcher) currentAddress(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelCalls != nil {
		w.cancelCalls()
	}
	ctx, w.cancelCalls = context.WithCancel(ctx)
	return ctx, w.address
}

// backoff draws the pause after a failed call, evenly from the upper half of MaxBackoff.
func (w *Watcher) backoff(rnd *rand.Rand) time.Duration {
	half := w.MaxBackoff / 2
	return half + time.Duration(rnd.Int64N(int64(half)+1))
}
