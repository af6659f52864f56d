package apiserver

import "time"

const (
	// maxEvents is how many events are kept. When there are more, the oldest droppedEvents are dropped together. That is
	// enough for every watch that is not interrupted for long.
	maxEvents     = 4096
	droppedEvents = 1024
)

// eventKind is the type of a watch event on the wire.
type eventKind string

const (
	eventAdded    eventKind = "ADDED"
	eventModified eventKind = "MODIFIED"
	eventDeleted  eventKind = "DELETED"
	eventBookmark eventKind = "BOOKMARK"
	eventError    eventKind = "ERROR"
)

// event is a change of one entry of the endpoint list.
type event struct {
	version int
	kind    eventKind
	entry   Entry
	at      time.Time
}

// usable reports whether new requests may be sent to the engine after the event.
func (e event) usable() bool { return e.kind != eventDeleted && e.entry.usable() }

// eventLog holds the latest changes of the endpoint list. Server.mu guards it.
type eventLog struct {
	version       int // of the latest event or compaction
	oldestVersion int // oldest version that has not expired
	events        []event
	changeSignal  chan struct{} // closed and replaced at each change
}

func newEventLog() eventLog { return eventLog{version: 1, changeSignal: make(chan struct{})} }

// add appends an event and returns its version.
func (l *eventLog) add(kind eventKind, e Entry) (version int) {
	l.version++
	l.events = append(l.events, event{version: l.version, kind: kind, entry: e, at: time.Now()})
	if len(l.events) > maxEvents {
		l.events = l.events[droppedEvents:]
		l.oldestVersion = l.events[0].version
	}
	l.notify()
	return l.version
}

// repeatOldest appends the oldest event of an engine again, with its old version. Removals are passed over.
func (l *eventLog) repeatOldest(name string) {
	for _, e := range l.events {
		if e.entry.Name == name && e.kind != eventDeleted {
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
	l.oldestVersion = l.version
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
	close(l.changeSignal)
	l.changeSignal = make(chan struct{})
}
