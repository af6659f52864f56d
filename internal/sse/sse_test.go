package sse

import (
	"bytes"
	"slices"
	"testing"
)

func TestSplitAtEveryCut(t *testing.T) {
	for name, stream := range map[string]string{
		"LF":                   "data: a\n\ndata: b\n\n",
		"CRLF":                 "data: a\r\n\r\ndata:b\r\n\r\n",
		"comment, LF, then CR": ": c\ndata: a\n\ndata: b\r\rx",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(stream) {
				got := splitAll([]byte(stream[:cut]), []byte(stream[cut:]))
				if !slices.Equal(got, []string{"a", "b"}) {
					t.Fatalf("cut at %d: data %q", cut, got)
				}
			}
		})
	}
}

// splitAll returns the data of all events in a stream that is received in segments.
func splitAll(segments ...[]byte) (data []string) {
	var buf []byte
	for _, segment := range segments {
		buf = append(buf, segment...)
		for n := Split(buf); n > 0; n = Split(buf) {
			data = append(data, string(Data(buf[:n])))
			buf = buf[n:]
		}
	}
	return data
}

func TestDataJoinsLines(t *testing.T) {
	if data := Data([]byte("event: x\ndata: a\ndata: b\n\n")); !bytes.Equal(data, []byte("a\nb")) {
		t.Errorf("data %q of two data lines", data)
	}
}

func TestDataOfCommentIsNil(t *testing.T) {
	if data := Data([]byte(": ping\n\n")); data != nil {
		t.Errorf("data %q of a comment, want nil", data)
	}
}

func TestWellFormed(t *testing.T) {
	for event, want := range map[string]bool{
		"data: {}\n\n": true, "data:{}\r\n\r\n": true, ": ping\n\n": true, "\n": true, "data: a\rdata: b\r\r": true,
		"event: x\nid: 1\nretry: 5\ndata: {}\n\n": true,
		"52\r\ndata: {}\n\n":                      false, // the size of a chunk
		"HTTP/1.1 200 OK\r\n\r\n":                 false,
		"Content-Length: 5\ndata: {}\n\n":         false,
		"data\n\n":                                false,
	} {
		if WellFormed([]byte(event)) != want {
			t.Errorf("%q: %v", event, !want)
		}
	}
}

func TestEventsAreReadWithoutAllocation(t *testing.T) {
	event := []byte("data: {\"choices\":[]}\n\n")
	if n := testing.AllocsPerRun(100, func() {
		if data := event[:Split(event)]; !WellFormed(data) || Data(data) == nil {
			t.Fatal("no data")
		}
	}); n != 0 {
		t.Fatalf("%v allocations per event", n)
	}
}
