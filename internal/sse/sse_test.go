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

func TestSplitAndDataAllocateNothing(t *testing.T) {
	event := []byte("data: {\"choices\":[]}\n\n")
	if n := testing.AllocsPerRun(100, func() {
		if Data(event[:Split(event)]) == nil {
			t.Fatal("no data")
		}
	}); n != 0 {
		t.Fatalf("%v allocations per event", n)
	}
}
