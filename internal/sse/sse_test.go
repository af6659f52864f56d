package sse

import (
	"bytes"
	"testing"
)

func TestSplitAtEveryCut(t *testing.T) {
	for _, stream := range []string{"data: a\n\ndata: b\n\n", "data: a\r\n\r\ndata:b\r\n\r\n", ": c\ndata: a\n\ndata: b\r\rx"} {
		for cut := range len(stream) {
			var got []string
			buf := []byte{}
			for _, part := range [][]byte{[]byte(stream[:cut]), []byte(stream[cut:])} {
				buf = append(buf, part...)
				for n := Split(buf); n > 0; n = Split(buf) {
					got = append(got, string(Data(buf[:n])))
					buf = buf[n:]
				}
			}
			if len(got) != 2 || got[0] != "a" || got[1] != "b" {
				t.Fatalf("%q cut at %d: %q", stream, cut, got)
			}
		}
	}
	if d := Data([]byte("event: x\ndata: a\ndata: b\n\n")); !bytes.Equal(d, []byte("a\nb")) {
		t.Fatalf("two lines: %q", d)
	}
	if Data([]byte(": ping\n\n")) != nil {
		t.Fatal("a comment has data")
	}
}

func TestSplitAndDataAllocateNothing(t *testing.T) {
	ev := []byte("data: {\"choices\":[]}\n\n")
	if n := testing.AllocsPerRun(100, func() {
		if Data(ev[:Split(ev)]) == nil {
			t.Fatal("no data")
		}
	}); n != 0 {
		t.Fatalf("%v allocations an event", n)
	}
}
