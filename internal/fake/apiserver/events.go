package apiserver

import "time"

const (
	// maxEvents is how many events are kept, and dropEvents how many of the oldest are dropped at once when there are
	// more: enough for every watch that is not cut off for long.
	maxEvents  = 4096
	dropEvents = 1024
)

// eventKind is the type of a watch event, as it is transmitted.
type eventKind string

const (
	added    eventKind = "ADDED"
	modified eventKind = "MODIFIED"
	deleted  eventKind = "DELETED"
	bookmark eventKind = "BOOKMARK"
	failed   eventKind = "ERROR"
)

// event is one change of the endpoint list.
type event struct {
	version int
	kind    eventKind
	entry   Entry
	at      time.Time
}

// usable reports whether new work may go to the engine after the event.
func (e event) usable() bool { return e.kind != deleted && e.entry.usable() }

// eventLog holds the newest changes of the endpoint list. The server's mutex guards it.
type eventLog struct {
	version int // of the newest event
	oldest  int // versions before this one have expired
	events  []event
	changed chan struct{} // closed and replaced at each change
}

func newEventLog() eventLog { return eventLog{version: 1, changed: make(chan struct{})} }

// add adds an event and returns its version.
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

// repeat adds the oldest event of an engine again, other than its removal.
func (l *eventLog) repeat(name string) {
	for _, e := range l.events {
		if e.entry.Name == name && e.kind != deleted {
			e.at = time.Now()
			l.events = append(l.events, e)
			l.notify()
			return
		}
	}
}

// compact drops all events.
func (l *eventLog) compact() {
	l.version++
	l.oldest = l.version
	l.events = nil
	l.notify()
}

// after is the index of the first event after a version.
func (l *eventLog) after(version int) int {
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
