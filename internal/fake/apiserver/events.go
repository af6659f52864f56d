package apiserver

import "time"

const (
	// maxEvents is how many events are kept. When there are more, the oldest dropEvents are dropped together. That is
	// enough for every watch that is not interrupted for long.
	maxEvents  = 4096
	dropEvents = 1024
)

// eventKind is the type of a watch event on the wire.
type eventKind string

const (
	added    eventKind = "ADDED"
	modified eventKind = "MODIFIED"
	deleted  eventKind = "DELETED"
	bookmark eventKind = "BOOKMARK"
	failed   eventKind = "ERROR"
)

// event is a change of one entry of the endpoint list.
type event struct {
	version int
	kind    eventKind
	entry   Entry
	at      time.Time
}

// usable reports whether new requests may be sent to the engine after the event.
func (e event) usable() bool { return e.kind != deleted && e.entry.usable() }

// eventLog holds the latest changes of the endpoint list. Server.mu guards it.
type eventLog struct {
	version int // of the latest event or compaction
	oldest  int // oldest version that has not expired
	events  []event
	changed chan struct{} // closed and replaced at each change
}

func newEventLog() eventLog { return eventLog{version: 1, changed: make(chan struct{})} }

// add appends an event and returns its version.
func (l *eventLog) add(kind eventKind, e Entry) (version int) {
	l.version++
	l.events = append(l.events, event{version: l.version, kind: kind, entry: e, at: time.Now()})
	if len(l.events) > maxEvents {
		l.events = l.events[dropEvents:]
		l.oldest = l.events[0].version
	}
	l.notify()
	return l.version
}

// addOldestAgain appends the oldest event of an engine again, with its old version. Removals are passed over.
func (l *eventLog) addOldestAgain(name string) {
	for _, e := range l.events {
		if e.entry.Name == name && e.kind != deleted {
			e.at = time.Now()
			l.events = append(l.events, e)
			l.notify()
			return
		}
	}
}

// compact drops all events, so that all earlier versions expire.
func (l *eventLog) compact() {
	l.version++
	l.oldest = l.version
	l.events = nil
	l.notify()
}

// indexAfter returns the index from which all events have a later version than the given one.
func (l *eventLog) indexAfter(version int) int {
	i := len(l.events)
	for i > 0 && l.events[i-1].version > version {
		i--
	}
	return i
}

func (l *eventLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
