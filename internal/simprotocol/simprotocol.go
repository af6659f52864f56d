// Package simprotocol turns the simulator's frames into the module's events and the module's actions into frames. It holds
// names and layouts only, no decisions.
package simprotocol

import (
	"brackenbend/routing"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// MaxFrame is the longest batch that is accepted.
const MaxFrame = 256 << 20

const (
	batchHead = 20
	replyHead = 12
	entrySize = 22
)

// Start begins an instance; Stop ends it. They are for the adapter, not for the module.
type (
	Start struct {
		Seed uint64
		Info []byte
	}
	Stop struct{}
)

// Item is one event for one instance: Start, Stop or a routing.Event.
type Item struct {
	Instance uint16
	Event    any
}

// Batch is one decoded frame.
type Batch struct {
	Now   time.Duration
	Seq   uint32
	Items []Item
}

// Decoder reads batches; it keeps the numbered lists from one to the next.
type Decoder struct {
	r     io.Reader
	buf   []byte
	lists [16][]routing.Endpoint
	known [16]bool
}

// NewDecoder reads frames from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next returns the next batch, io.EOF at a clean end of input.
func (d *Decoder) Next() (*Batch, error) {
	var head [batchHead]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: %w", err)
	}
	size := binary.BigEndian.Uint32(head[0:])
	if size < batchHead || size > MaxFrame {
		return nil, fmt.Errorf("batch header: length %d is out of range", size)
	}
	body, err := d.body(int(size) - batchHead)
	if err != nil {
		return nil, fmt.Errorf("batch body: %w", err)
	}
	b := &Batch{Now: micros(binary.BigEndian.Uint64(head[8:])), Seq: binary.BigEndian.Uint32(head[16:])}
	return b, d.records(b, body, binary.BigEndian.Uint32(head[4:]))
}

// body reads n bytes in steps, so that a false length can't make it allocate far more than arrives.
func (d *Decoder) body(n int) ([]byte, error) {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		k, old := min(step, n-len(d.buf)), len(d.buf)
		if cap(d.buf) < old+k {
			d.buf = append(d.buf, make([]byte, k)...)
		} else {
			d.buf = d.buf[:old+k]
		}
		if _, err := io.ReadFull(d.r, d.buf[old:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return d.buf, nil
}

func (d *Decoder) records(b *Batch, body []byte, count uint32) error {
	c := &cursor{b: body}
	inst, named := uint16(0), false
	for i := uint32(0); i < count; i++ {
		code := c.u8()
		var ev any
		switch code {
		case 12:
			inst, named = c.u16(), true
		case 11:
			d.list(c)
		default:
			if !named && c.err == nil {
				return fmt.Errorf("record %d: event before any instance is named", i)
			}
			ev = d.event(c, code)
		}
		if c.err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, code, c.err)
		}
		if ev != nil {
			b.Items = append(b.Items, Item{inst, ev})
		}
	}
	if len(c.b) != 0 {
		return fmt.Errorf("batch: %d bytes left after %d records", len(c.b), count)
	}
	return nil
}

func (d *Decoder) list(c *cursor) {
	slot := c.u8()
	n := c.u32()
	if c.err == nil && (int(slot) >= len(d.lists) || uint64(n)*entrySize > uint64(len(c.b))) {
		c.err = fmt.Errorf("list %d of %d entries does not fit", slot, n)
	}
	if c.err != nil {
		return
	}
	rows := make([]routing.Endpoint, n)
	for i := range rows {
		rows[i].Weight = c.f32()
		rows[i].Kind = int(c.u8())
		state := c.u8()
		if state > 2 {
			c.err = fmt.Errorf("entry %d: unknown state %d", i, state)
			return
		}
		rows[i].State = routing.EndpointState(state)
		rows[i].ID = routing.EndpointID(c.u32())
		rows[i].Zone = int(c.u16())
		rows[i].StartedAt = micros(c.u64())
		rows[i].Cell = int(c.u16())
	}
	d.lists[slot], d.known[slot] = rows, true
}

var scopes = map[byte]routing.ListScope{4: routing.ListChanges, 1: routing.ListFull, 3: routing.ListCached, 0: routing.ListFailed}

var results = map[uint16]routing.Result{
	10: routing.Served, 20: routing.EngineError, 30: routing.Rejected, 40: routing.TimedOut,
	50: routing.ConnectFailed, 60: routing.ConnectionReset, 70: routing.Cancelled, 80: routing.NotSent, 102: routing.PrefillDone,
}

func (d *Decoder) event(c *cursor, code byte) any {
	switch code {
	case 0:
		return Start{Seed: c.u64(), Info: c.bytes(int64(c.u32()))}
	case 1:
		return d.registry(c)
	case 2:
		return order(c)
	case 3:
		f := routing.FirstToken{Request: routing.RequestID(c.u32()), Endpoint: routing.EndpointID(c.u32())}
		f.Elapsed, f.Attempt = micros(uint64(c.u32())), int(c.u16())
		return f
	case 4:
		return completed(c)
	case 5:
		return routing.ClientDisconnected{Request: routing.RequestID(c.u32())}
	case 6:
		return routing.Timer{Tag: c.u64()}
	case 7: // HealthResult: nothing is probed
		c.bytes(10)
		c.report()
		return nil
	case 8: // Heard: fronts do not talk
		c.u16()
		c.bytes(int64(c.u16()))
		return nil
	case 9:
		return Stop{}
	case 10:
		h := routing.Reserved{Request: routing.RequestID(c.u32())}
		c.u16()
		h.Endpoint, h.OK = routing.EndpointID(c.u32()), c.u8() == 1
		c.f32()
		return h
	}
	if c.err == nil {
		c.err = errors.New("unknown record code")
	}
	return nil
}

func (d *Decoder) registry(c *cursor) any {
	scope, ok := scopes[c.u8()]
	c.u32()
	slot := c.u8()
	l := routing.EndpointList{Scope: scope}
	switch {
	case c.err != nil:
	case !ok:
		c.err = errors.New("unknown list scope")
	case scope == routing.ListFailed:
	case int(slot) >= len(d.lists) || !d.known[slot]:
		c.err = fmt.Errorf("list %d was never defined", slot)
	default:
		l.Endpoints = d.lists[slot]
	}
	return l
}

func order(c *cursor) any {
	q := routing.Request{ID: routing.RequestID(c.u32())}
	bits := c.u8()
	q.Retry, q.ResumedStream = bits&2 != 0, bits&16 != 0
	q.Deadline, q.Session, q.Tenant, q.PromptTokens = micros(c.u64()), c.u64(), int(c.u32()), c.f32()
	c.u32()
	q.PrefixTokens, q.MaxOutputTokens, q.Class, q.Prefix = c.f32(), c.f32(), int(c.u16()), c.u64()
	return q
}

func completed(c *cursor) any {
	o := routing.Outcome{Request: routing.RequestID(c.u32()), Attempt: int(c.u16()), Endpoint: routing.EndpointID(c.u32())}
	o.Elapsed, o.RequestDone = micros(uint64(c.u32())), c.u8() != 0
	remark := c.u32()
	how := c.u16()
	res, ok := results[how]
	if c.err == nil && !ok {
		c.err = fmt.Errorf("unknown outcome %d", how)
	}
	o.Result = res
	o.StateMissing = res == routing.Rejected && remark == 1
	if res == routing.PrefillDone || res == routing.Served {
		o.CachedTokens = float64(remark)
	}
	o.LoadReport = c.report()
	return o
}

// cursor takes fields off a frame; after the first error it returns zeros.
type cursor struct {
	b   []byte
	err error
}

func (c *cursor) bytes(n int64) []byte {
	if c.err == nil && n > int64(len(c.b)) {
		c.err = io.ErrUnexpectedEOF
	}
	if c.err != nil {
		return nil
	}
	out := c.b[:n]
	c.b = c.b[n:]
	return out
}

func (c *cursor) u8() byte {
	if p := c.bytes(1); p != nil {
		return p[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if p := c.bytes(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if p := c.bytes(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if p := c.bytes(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

func (c *cursor) f32() float64 {
	v := float64(math.Float32frombits(c.u32()))
	if c.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		c.err = errors.New("a number is not finite")
	}
	return v
}

func (c *cursor) report() []float64 {
	n := int(c.u8())
	if n == 0 || c.err != nil {
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = c.f32()
	}
	return out
}

// micros takes a wire time, cut to what a Duration holds.
func micros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(math.MaxInt64/1000))) * time.Microsecond
}

// Reply builds the answer to one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// NewReply begins the answer to batch seq in buf, which is used again.
func NewReply(buf []byte, seq uint32) *Reply {
	r := &Reply{buf: append(buf[:0], make([]byte, replyHead)...)}
	binary.BigEndian.PutUint32(r.buf[8:], seq)
	return r
}

// Add appends the actions of one instance.
func (r *Reply) Add(instance uint16, actions []routing.Action) error {
	if len(actions) == 0 {
		return nil
	}
	r.head(8)
	r.u16(instance)
	for _, a := range actions {
		if err := r.action(a); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reply) action(a routing.Action) error {
	switch a := a.(type) {
	case routing.Send:
		r.pair(1, uint32(a.Request), uint32(a.Endpoint))
		r.u32(delay(a.Timeout))
	case routing.Reject:
		r.pair(6, uint32(a.Request), delay(a.RetryAfter))
	case routing.Fail:
		r.single(13, uint32(a.Request))
	case routing.Cancel:
		r.single(7, uint32(a.Request))
		r.u16(uint16(a.Attempt))
	case routing.ReleaseState:
		r.single(14, uint32(a.Request))
	case routing.Reserve:
		r.pair(15, uint32(a.Request), uint32(a.Endpoint))
	case routing.SetTimer:
		r.single(10, max(1, delay(a.After)))
		r.buf = binary.BigEndian.AppendUint64(r.buf, a.Tag)
	case routing.FetchEndpoints:
		r.head(11)
		r.buf = append(r.buf, 1)
	case routing.Log:
		r.text(0, a.Text)
	default:
		return fmt.Errorf("no wire form for action %T", a)
	}
	return nil
}

// Fault reports a failure of the module to the host.
func (r *Reply) Fault(instance uint16, text string) {
	r.head(8)
	r.u16(instance)
	r.text(12, text)
}

// Bytes returns the finished frame.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[0:], uint32(len(r.buf)))
	binary.BigEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}

func (r *Reply) head(code byte) { r.buf = append(r.buf, code); r.count++ }
func (r *Reply) u16(v uint16)   { r.buf = binary.BigEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32)   { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }

func (r *Reply) single(code byte, v uint32) {
	r.head(code)
	r.u32(v)
}

func (r *Reply) pair(code byte, v, w uint32) {
	r.single(code, v)
	r.u32(w)
}

func (r *Reply) text(code byte, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.head(code)
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// delay is a wire delay: never negative, never past what the field holds.
func delay(d time.Duration) uint32 {
	return uint32(min(max(d/time.Microsecond, 0), math.MaxInt32))
}
