// Package sse splits streams of server-sent events (WHATWG HTML, section 9.2) into events without copying them. It
// keeps no state, and its functions are safe for concurrent use.
package sse

import "bytes"

// Done is the data of the last event of a stream in the OpenAI API.
const Done = "[DONE]"

var (
	eventEnd  = []byte("\n\n")
	dataField = []byte("data:")
	space     = []byte(" ")
	colon     = []byte(":")
)

// Split returns the length of the first complete event in buf, including its blank line, or 0 if no event is complete.
// Lines may end in LF, CRLF or CR. A CR at the end of buf does not end a line, since an LF may follow.
func Split(buf []byte) int {
	if bytes.IndexByte(buf, '\r') < 0 { // the usual case: engines end lines in LF
		if len(buf) > 0 && buf[0] == '\n' {
			return 1
		}
		if i := bytes.Index(buf, eventEnd); i >= 0 {
			return i + len(eventEnd)
		}
		return 0
	}
	for start := 0; start < len(buf); {
		length := bytes.IndexAny(buf[start:], "\r\n")
		if length < 0 {
			return 0
		}
		next := lineEnd(buf, start+length)
		if next == 0 {
			return 0
		}
		if length == 0 { // the empty line after an event
			return next
		}
		start = next
	}
	return 0
}

// lineEnd returns the index after the line ending that starts at i, or 0 if it may continue past the end of buf.
func lineEnd(buf []byte, i int) int {
	if buf[i] == '\n' {
		return i + 1
	}
	if i+1 == len(buf) {
		return 0
	}
	if buf[i+1] == '\n' {
		return i + 2
	}
	return i + 1
}

// Data returns the data of an event. For one data line it returns a slice of event, for several lines a joined copy,
// and for an event without data, such as a comment, nil.
func Data(event []byte) []byte {
	var data []byte
	found := false
	for len(event) > 0 {
		var line []byte
		line, event = cutLine(event)
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, space)
		if !found {
			data, found = value[:len(value):len(value)], true // capacity limited, so that append copies
			continue
		}
		data = append(append(data, '\n'), value...)
	}
	return data
}

// WellFormed reports whether an event consists of comments and of fields that event streams define. Readers must ignore
// other fields, but engines don't write any: they are bytes that belong to something else.
func WellFormed(event []byte) bool {
	for len(event) > 0 {
		var line []byte
		line, event = cutLine(event)
		if len(line) > 0 && !isKnownField(line) {
			return false
		}
	}
	return true
}

// isKnownField reports whether a line is a comment or a field that event streams define.
func isKnownField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, colon)
	if !hasValue {
		return false
	}
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

// cutLine returns the first line of event and the rest. It splits between the CR and the LF of a CRLF, which only adds
// an empty line that has no data.
func cutLine(event []byte) (line, rest []byte) {
	end := bytes.IndexByte(event, '\n')
	if cr := bytes.IndexByte(event[:max(end, 0)], '\r'); cr >= 0 || end < 0 {
		end = bytes.IndexAny(event, "\r\n")
	}
	if end < 0 {
		return event, nil
	}
	return event[:end], event[end+1:]
}
