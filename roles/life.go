package roles

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The life cycle of a change. The book, kept by the register, says of every engine what it is listed as and what was
// ordered of it. Planners write it, any number of them: a write names the version that it was made from and is refused
// if the book has moved on, so a planner that was paused, cut off or doubled can't act on old news, and what is checked
// against the book holds over all of them. An engine obeys the newest order that it has heard of and keeps it on disk.
//
//	planner                      book                          engine
//	Begin, Write ──────────────▶ ordered: listed as draining
//	Tell {order, role} ───────────────────────────────────────▶ Take: drains its old role
//	                                                            Empty: switches, then serves
//	Heard (its word) ◀───────────────────────────────────────── Word {order, role, serves}
//	Write ─────────────────────▶ settled: listed in its new role
//
// Every word may be lost, late or repeated, and every party may crash at any point: Tell is repeated until the word of
// its order is heard. An order is called off by a newer one back to the role in force.
// An order that only adds a stage (to Both) drains nothing: the engine stays listed in its old role until it does both.

// Entry is what the book says of one engine.
type Entry struct {
	Role    Role          `json:"role"`              // as listed
	Order   uint64        `json:"order,omitempty"`   // newest order; only grows
	To      Role          `json:"to"`                // what the order asks for; = Role once it is settled
	Open    bool          `json:"open"`              // listed ready; an order closes it until it is settled, unless it only adds a stage
	Changed time.Duration `json:"changed,omitempty"` // when it was last settled or called off, by the writer's clock
	Began   time.Duration `json:"began,omitempty"`   // when it last came back from being closed: cold since then
	Pinned  bool          `json:"pinned,omitempty"`  // an operator holds it
	Reads   bool          `json:"reads,omitempty"`   // it may be ordered to read ...
	Writes  bool          `json:"writes,omitempty"`  // ... and to write
	Why     string        `json:"why,omitempty"`     // the newest order's reason
}

// Book is what the register keeps of a fleet. Treat it as a value: the methods below change a copy.
type Book struct {
	Version uint64           `json:"version"`
	Orders  uint64           `json:"orders"` // given so far; numbers of orders are never used twice
	Entries map[string]Entry `json:"entries"`
}

// The reasons for which the book refuses.
var (
	ErrStale   = errors.New("roles: the book has been written since it was read; read it again")
	ErrUnknown = errors.New("roles: the book has no such engine")
	ErrBusy    = errors.New("roles: an order to this engine is not settled yet")
	ErrCant    = errors.New("roles: the engine can't take that role, or is pinned")
	ErrLast    = errors.New("roles: the stage would be left without an engine")
	ErrSame    = errors.New("roles: it has that role")
)

// Write is the register's part: it takes a book made from the version that it holds, and gives it the next version.
func (held Book) Write(b Book) (Book, error) {
	if b.Version != held.Version {
		return held, fmt.Errorf("%w (from version %d, now %d)", ErrStale, b.Version, held.Version)
	}
	b.Version++
	return b, nil
}

func (b Book) with(id string, e Entry) Book {
	b.Entries = maps.Clone(b.Entries)
	b.Entries[id] = e
	return b
}

// Begin orders an engine to a role.
func (b Book) Begin(id string, to Role, why string) (Book, error) {
	e, ok := b.Entries[id]
	switch {
	case !ok:
		return b, fmt.Errorf("%w: %s", ErrUnknown, id)
	case !e.Open || e.To != e.Role:
		return b, fmt.Errorf("%w: %s", ErrBusy, id)
	case to == e.Role:
		return b, fmt.Errorf("%w: %s is %v", ErrSame, id, to)
	case e.Pinned || to.Reads() && !e.Reads || to.Writes() && !e.Writes:
		return b, fmt.Errorf("%w: %s to %v", ErrCant, id, to)
	}
	return b.order(id, e, to, why)
}

// order gives the next order, unless it left a stage with no engine that is meant for it.
func (b Book) order(id string, e Entry, to Role, why string) (Book, error) {
	b.Orders++
	e.Order, e.To, e.Why = b.Orders, to, why
	e.Open = e.Open && to.covers(e.Role)
	n := b.with(id, e)
	had, has := b.meant(), n.meant()
	if had[0] && !has[0] || had[1] && !has[1] {
		return b, fmt.Errorf("%w: %s to %v", ErrLast, id, to)
	}
	return n, nil
}

// meant tells whether some engine is meant to read, and some to write.
func (b Book) meant() (stages [2]bool) {
	for _, e := range b.Entries {
		stages[0] = stages[0] || e.To.Reads()
		stages[1] = stages[1] || e.To.Writes()
	}
	return stages
}

// CallOff orders an engine back to the role that it is listed as.
func (b Book) CallOff(id, why string) (Book, error) {
	e, ok := b.Entries[id]
	switch {
	case !ok:
		return b, fmt.Errorf("%w: %s", ErrUnknown, id)
	case e.To == e.Role:
		return b, fmt.Errorf("%w: %s", ErrSame, id)
	}
	e.Open = false // it may have changed already
	return b.order(id, e, e.Role, why)
}

// Heard takes an engine's word at now, and tells whether the book is changed by it and has to be written. The word of the
// order that the book holds settles it. An engine that serves in another role than it is listed as, having lost its
// memory, is ordered back, and is not open meanwhile.
func (b Book) Heard(id string, w Word, now time.Duration) (Book, bool) {
	e, ok := b.Entries[id]
	if !ok {
		return b, false
	}
	switch settled := w.Serves && w.Order == e.Order; {
	case settled && w.Role == e.To && (!e.Open || e.To != e.Role):
		if !e.Open { // it may have switched, also there and back
			e.Began = now
		}
		e.Role, e.Open, e.Changed = e.To, true, now
		return b.with(id, e), true
	case e.Open && w.Serves && w.Order <= e.Order && w.Role != e.Role:
		b.Orders++
		e.Order, e.To, e.Open, e.Why = b.Orders, e.Role, false, fmt.Sprintf("it serves as %v and is listed as %v", w.Role, e.Role)
		return b.with(id, e), true
	}
	return b, false
}

// Tells are the orders that have to be told, again and again, until their words are heard.
func (b Book) Tells() []Tell {
	var out []Tell
	for _, id := range b.Names() {
		if e := b.Entries[id]; !e.Open || e.To != e.Role {
			out = append(out, Tell{id, e.Order, e.To})
		}
	}
	return out
}

// Tell is what an engine is told.
type Tell struct {
	ID    string `json:"id"`
	Order uint64 `json:"order"`
	To    Role   `json:"to"`
}

// Word is what an engine says of itself.
type Word struct {
	Order  uint64 `json:"order"`
	Role   Role   `json:"role"`
	Serves bool   `json:"serves"` // takes new work of its role; else it drains or switches
}

// Seat is an engine's own part. Order, Role and To are kept on disk: what Take and Empty return is written before it is
// acted upon or told.
type Seat struct {
	Order uint64 `json:"order"`
	Role  Role   `json:"role"`
	To    Role   `json:"to"`
}

// Takes tells whether the engine takes new work of a role. One that only adds a stage goes on with what it did.
func (s Seat) Takes(r Role) bool { return s.Role.covers(r) && s.To.covers(s.Role) }

// Word is what the engine says while it is in this seat.
func (s Seat) Word() Word { return Word{s.Order, s.Role, s.To == s.Role} }

// Take obeys an order if it is newer than any before. With To unlike Role the engine takes no new work of its old role,
// and lets what it has end; it does so after a crash too.
func (s Seat) Take(t Tell) Seat {
	if t.Order > s.Order {
		s.Order, s.To = t.Order, t.To
	}
	return s
}

// Empty is called when a draining engine has no work and holds no state any more, or when one that only adds a stage is
// ready for it. The engine then serves in its new role.
func (s Seat) Empty() Seat {
	s.Role = s.To
	return s
}

// Edit changes what an operator holds of an engine's entry: Pinned, Reads and Writes. An order that is on its way goes on;
// call it off, or force another.
func (b Book) Edit(id string, f func(*Entry)) (Book, error) {
	e, ok := b.Entries[id]
	if !ok {
		return b, fmt.Errorf("%w: %s", ErrUnknown, id)
	}
	held := e
	f(&held)
	e.Pinned, e.Reads, e.Writes = held.Pinned, held.Reads, held.Writes
	return b.with(id, e), nil
}

// Names are the engines of the book, in order.
func (b Book) Names() []string { return slices.Sorted(maps.Keys(b.Entries)) }

// Carry writes a plan into the book, as far as the book lets it: done is what it took, refused why it did not take a change.
func (b Book) Carry(p Plan) (next Book, done Plan, refused map[string]error) {
	for _, id := range p.CallOff {
		if n, err := b.CallOff(id, "it took too long, or the work turned"); err == nil {
			b, done.CallOff = n, append(done.CallOff, id)
		}
	}
	refused = map[string]error{}
	for _, c := range p.Changes {
		n, err := b.Begin(c.ID, c.To, c.Why)
		if err != nil {
			refused[c.ID] = err
			continue
		}
		b, done.Changes = n, append(done.Changes, c)
	}
	return b, done, refused
}

// Turn orders an engine that reads to write, and any other to read.
func (b Book) Turn(id, why string) (Book, error) {
	to := Reader
	if b.Entries[id].Role == Reader {
		to = Writer
	}
	return b.Begin(id, to, why)
}

// Count is how many engines are open in each role, and how many are not.
func (b Book) Count() (open [3]int, changing int) {
	for _, e := range b.Entries {
		if e.Open {
			open[e.Role]++
		} else {
			changing++
		}
	}
	return open, changing
}
