// Package discovery follows the platform's list of engines: the whole list once, then a long watch for what changes.
// It knows nothing of health and keeps nothing by name; the loop does.
package discovery

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"
)

// List is discovery's answer.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one engine.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // Unix time; 0 = long ago
}

var states = map[string]routing.EndpointState{"Ready": routing.EndpointReady, "Terminating": routing.EndpointDraining, "Gone": routing.EndpointGone}

const (
	membersMost = 20000
	textMost    = 512 // of one name
)

// Update is the list in the register's terms. An entry that can't be understood makes the whole list unreadable:
// taking the rest would tell that its engine is gone.
func (l *List) Update() (endpointslice.Update, error) {
	u := endpointslice.Update{Scope: routing.ListChanges}
	if l.Complete {
		u.Scope = routing.ListFull
	}
	if len(l.Members) > membersMost {
		return u, fmt.Errorf("discovery: %d members, %d at most", len(l.Members), membersMost)
	}
	u.Endpoints = make([]endpointslice.Endpoint, 0, len(l.Members))
	for i, m := range l.Members {
		state, known := states[m.Phase]
		switch _, _, err := net.SplitHostPort(m.HostPort); {
		case m.ID == "" || len(m.ID)+len(m.HostPort)+len(m.Locality)+len(m.Flavor) > textMost:
			return u, fmt.Errorf("discovery: members[%d]: no id, or names of over %d bytes", i, textMost)
		case !known:
			return u, fmt.Errorf("discovery: members[%d] (%s): unknown phase %q", i, m.ID, m.Phase)
		case err != nil && state != routing.EndpointGone:
			return u, fmt.Errorf("discovery: members[%d] (%s): host_port: %w", i, m.ID, err)
		case m.UpSince < 0:
			return u, fmt.Errorf("discovery: members[%d] (%s): negative up_since_ms", i, m.ID)
		}
		e := endpointslice.Endpoint{Name: m.ID, Address: m.HostPort, Kind: m.Flavor, Zone: m.Locality, Cell: strconv.FormatInt(m.Cell, 10), State: state}
		if m.UpSince > 0 {
			e.Started = time.UnixMilli(m.UpSince)
		}
		u.Endpoints = append(u.Endpoints, e)
	}
	return u, nil
}

// Parse reads a list. What is missing of revision, complete and members is no list.
func Parse(text []byte) (*List, error) {
	var l struct {
		Revision *int64    `json:"revision"`
		Complete *bool     `json:"complete"`
		Members  *[]Member `json:"members"`
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if l.Revision == nil || l.Complete == nil || l.Members == nil {
		return nil, errors.New("discovery: a list needs revision, complete and members")
	}
	return &List{*l.Revision, *l.Complete, *l.Members}, nil
}

// Watcher follows discovery. Its exported fields are set before Run.
type Watcher struct {
	OnUpdate         func(endpointslice.Update) // called from Run's goroutine only
	Log              func(msg string, err error)
	WatchTimeout     time.Duration // how long a watch may wait
	ConnectTimeout   time.Duration // for a connection to come up
	FirstByteTimeout time.Duration // for an answer to begin, beyond the wait, until it is asked anew
	ResponseTimeout  time.Duration // for an answer that has begun to be whole
	MaxBackoff       time.Duration // after a failed call, at most
	MaxListBytes     int64         // bytes of an answer
	Seed             uint64        // of the pauses' draws: nodes that lost one discovery together come back spread out

	newest   int64  // the latest revision that was delivered; this and the next two by Run's goroutine
	newestAt string // the address that it came from
	older    int    // answers in a row that were older

	dial    func(ctx context.Context, address string) (net.Conn, error) // nil = TCP
	mu      sync.Mutex
	address string
	stop    context.CancelFunc // ends the present call
}

// pause is the wait after a failed call.
func (w *Watcher) pause(rnd *rand.Rand) time.Duration {
	return w.MaxBackoff/2 + time.Duration(rnd.Int64N(int64(w.MaxBackoff/2)+1))
}

// SetAddress makes address the one to ask, from now on.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	if w.stop != nil {
		w.stop()
	}
}

// at is the present address, with a context that a move ends.
func (w *Watcher) at(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil {
		w.stop()
	}
	ctx, w.stop = context.WithCancel(ctx)
	return ctx, w.address
}

// MaxOpenCalls is how many first calls are open at once, each begun when the one before it said nothing for Begin: so one that takes
// longer than that is not lost, and one that will never be answered does not stand in the way.
const MaxOpenCalls = 3

// MaxStaleness is the longest that a change may go unnoticed while discovery can be reached, whatever happens to the calls: a watch falls
// silent as it begins, just before the change, or in the middle of its answer; then one connection does not come up, and the
// list takes all its time.
func (w *Watcher) MaxStaleness() time.Duration {
	silent, hung, list := max(w.WatchTimeout+w.FirstByteTimeout, w.ResponseTimeout), w.ConnectTimeout+w.MaxBackoff, w.ConnectTimeout+MaxOpenCalls*w.FirstByteTimeout+w.ResponseTimeout
	return silent + hung + list
}

// Run follows discovery until ctx ends. Every new connection begins with the whole list: changes may have been lost. A call stands
// open at all times but for the pause after one that failed at once; one that was given up has waited enough.
func (w *Watcher) Run(ctx context.Context) {
	failed, rnd := false, rand.New(rand.NewPCG(w.Seed, 1))
	for ctx.Err() == nil {
		here, address := w.at(ctx)
		err := w.follow(here, address, func() { failed = false })
		moved := here.Err() != nil
		if ctx.Err() != nil {
			return
		}
		if moved { // at once
			continue
		}
		if !failed { // once for each outage
			w.Log("discovery does not answer; the list stays", err)
		}
		failed = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-here.Done(): // moved
		case <-time.After(w.pause(rnd)):
		}
	}
}

// call is one connection on which the whole list was asked for.
type call struct {
	net.Conn
	br   *bufio.Reader
	live func() bool // stops the end of ctx from closing it
	err  error
}

// first asks for the whole list and returns the connection on which an answer begins, asking again on another one whenever none
// has for Begin: a discovery that was down does not answer what was asked before it came back.
func (w *Watcher) first(ctx context.Context, address string) (*call, error) {
	ctx, stop := context.WithCancel(ctx)
	answers := make(chan *call)
	out := 0
	defer func() { // those that were not taken
		stop()
		for ; out > 0; out-- {
			if c := <-answers; c.err == nil {
				c.Close()
			}
		}
	}()
	var ends [MaxOpenCalls]context.CancelFunc
	next := time.NewTicker(w.FirstByteTimeout)
	defer next.Stop()
	for n := 0; ; n++ {
		if end := ends[n%MaxOpenCalls]; end != nil { // the oldest
			end()
		}
		one, end := context.WithCancel(ctx)
		ends[n%MaxOpenCalls] = end
		out++
		go func() { answers <- w.open(one, address) }()
		for waits := true; waits; {
			select {
			case c := <-answers:
				out--
				if c.err == nil && c.live() {
					return c, nil
				}
				if c.err != nil && out == 0 {
					return nil, c.err
				}
			case <-next.C:
				waits = false
			}
		}
	}
}

// open asks for the whole list on a new connection and waits for the first byte of an answer. The end of ctx ends it.
func (w *Watcher) open(ctx context.Context, address string) *call {
	up, done := context.WithTimeout(ctx, w.ConnectTimeout)
	nc, err := w.connect(up, address)
	done()
	if err != nil {
		return &call{err: err}
	}
	c := &call{Conn: nc, br: bufio.NewReaderSize(nc, 4096), live: context.AfterFunc(ctx, func() { nc.Close() })}
	if err = w.send(c, address, "/v1/servers"); err == nil {
		_, err = c.br.Peek(1)
	}
	if c.err = err; err != nil {
		nc.Close()
	}
	return c
}

// follow asks at one address over one connection until that fails.
func (w *Watcher) follow(ctx context.Context, address string, well func()) error {
	c, err := w.first(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	whole := true // the whole list was asked for
	for {
		text, again, err := w.read(c)
		if err != nil {
			return err
		}
		l, err := Parse(text)
		if err != nil {
			return err
		}
		if err := w.take(l, address, whole); err != nil {
			return err
		}
		well()
		if !again {
			return errors.New("discovery: it closed the connection")
		}
		whole = false
		if err := c.SetReadDeadline(time.Now().Add(w.WatchTimeout + w.FirstByteTimeout)); err != nil {
			return err
		}
		if err := w.send(c, address, fmt.Sprintf("/v1/servers?from=%d&hold_ms=%d", l.Revision, w.WatchTimeout.Milliseconds())); err != nil {
			return err
		}
		if _, err := c.br.Peek(1); err != nil {
			return err
		}
	}
}

// olderTaken is how many answers in a row must be older than what was delivered for the last, a whole list, to be taken: discovery has
// gone back then, while a single one may come from a replica that lags behind, and would bring back what was told to drain.
const olderTaken = 2

var errPartial = errors.New("discovery: some changes in answer to a call for the whole list")

// take delivers a list. An error tells that the whole is to be asked for anew.
func (w *Watcher) take(l *List, address string, whole bool) error {
	if address != w.newestAt {
		w.newestAt, w.newest, w.older = address, 0, 0
	}
	if l.Revision < w.newest {
		if w.older++; !l.Complete || w.older < olderTaken {
			return fmt.Errorf("discovery: revision %d after %d", l.Revision, w.newest)
		}
	}
	u, err := l.Update()
	if err != nil {
		return err
	}
	if l.Complete || len(l.Members) > 0 {
		w.OnUpdate(u)
	}
	if whole && !l.Complete { // what it tells holds, but what else changed is not known
		return errPartial
	}
	w.newest, w.older = l.Revision, 0
	return nil
}

func (w *Watcher) connect(ctx context.Context, address string) (net.Conn, error) {
	if w.dial != nil {
		return w.dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// send writes one call.
func (w *Watcher) send(c *call, address, target string) error {
	if err := c.SetWriteDeadline(time.Now().Add(w.ResponseTimeout)); err != nil {
		return err
	}
	_, err := c.Write([]byte("GET " + target + " HTTP/1.1\r\nHost: " + address + "\r\nAccept: application/json\r\n\r\n"))
	return err
}

// read reads an answer that has begun; again tells that the connection may be used for another call.
func (w *Watcher) read(c *call) (text []byte, again bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(w.ResponseTimeout)); err != nil {
		return nil, false, err
	}
	lim := http1.Limits{MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100}
	resp, err := http1.ReadResponse(c.br, lim)
	if err != nil {
		return nil, false, err
	}
	if resp.Status != 200 {
		return nil, false, fmt.Errorf("discovery: answered %d", resp.Status)
	}
	var body http1.Body
	body.Reset(c.br, &resp.Message, lim)
	text, err = http1.ReadAll(&body, w.MaxListBytes)
	return text, !resp.Close, err
}
