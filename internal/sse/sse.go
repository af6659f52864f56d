// Package sse splits server-sent event streams (WHATWG HTML, section 9.2) into events without copying them.
package sse

import "bytes"

var blank, dataField = []byte("\n\n"), []byte("data:")

// Split returns the length of the first whole event in buf, its blank line included, or 0 when none is whole
// yet. Lines may end in LF, CRLF or CR; a CR at the very end of buf is waited on, since an LF may follow.
func Split(buf []byte) int {
	if bytes.IndexByte(buf, '\r') < 0 { // what engines send
		if len(buf) > 0 && buf[0] == '\n' {
			return 1
		}
		if i := bytes.Index(buf, blank); i >= 0 {
			return i + 2
		}
		return 0
	}
	for i := 0; i < len(buf); {
		j := bytes.IndexAny(buf[i:], "\r\n")
		if j < 0 {
			return 0
		}
		end := lineEnd(buf, i+j)
		if end == 0 {
			return 0
		}
		if j == 0 { // an empty line
			return end
		}
		i = end
	}
	return 0
}

// lineEnd returns the index after the line ending at i, 0 if that is not certain yet.
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

// Data returns the data of an event: the slice of the event itself where there is one data line, a joined copy
// where there are more, nil for an event without data (a comment, say).
func Data(event []byte) []byte {
	var data []byte
	found := false
	for len(event) > 0 {
		line := event
		i := bytes.IndexByte(event, '\n')
		if j := bytes.IndexByte(event[:max(i, 0)], '\r'); j >= 0 || i < 0 {
			i = bytes.IndexAny(event, "\r\n")
		}
		if i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		v, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		v = bytes.TrimPrefix(v, []byte(" "))
		if !found {
			data, found = v[:len(v):len(v)], true
			continue
		}
		data = append(append(data, '\n'), v...)
	}
	return data
}

// Done is the data that ends a stream of the OpenAI API.
const Done = "[DONE]"
