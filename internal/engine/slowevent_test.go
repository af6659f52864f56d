package engine

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// slowConn is a deadlineConn on which a read of an empty part times out.
type slowConn struct{ deadlineConn }

func (c *slowConn) Read(p []byte) (int, error) {
	if len(c.parts) > 0 && c.parts[0] == "" {
		c.parts = c.parts[1:]
		return 0, os.ErrDeadlineExceeded
	}
	return c.deadlineConn.Read(p)
}

// TestOnlyAnEventInTheMakingGetsExtraTime guards against streams that are cut off while their engine is writing an
// event slowly, and against clients that wait behind bytes that become no event.
func TestOnlyAnEventInTheMakingGetsExtraTime(t *testing.T) {
	const token = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}` + "\n\n"
	const half = len(token) / 2
	rest := chunk(token[half:]) + chunk("data: [DONE]\n\n") + http1.LastChunk
	for name, c := range map[string]struct {
		parts  []string // behind the first event; a read that times out, and the rest of the stream, follow
		served bool
	}{
		"half of an event":                 {[]string{chunk(token[:half])}, true},
		"the field's name":                 {[]string{chunk("dat"), chunk("a" + token[len("data"):half])}, true},
		"nothing":                          {nil, false},
		"noise":                            {[]string{chunk("x")}, false},
		"an event that is no JSON":         {[]string{chunk("data: x")}, false},
		"half of an event after a comment": {[]string{chunk(": ping\n\n"), chunk(token[:half])}, false},
		"half of an event after a ping":    {[]string{chunk("data: {}\n\n"), chunk(token[:half])}, false},
		"much of a large event":            {[]string{chunk(`data: {"a":"` + strings.Repeat("x", 300))}, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient()
			client.RequireLastChunk, client.StrictEvents = true, true
			client.StreamIdleTimeout = time.Nanosecond
			client.SlowEventGap, client.SlowEventTimeout = time.Minute, time.Hour
			conn := &slowConn{}
			conn.parts = slices.Concat([]string{streamHeader, chunk(token)}, c.parts, []string{"", rest})
			pc := newPersistConn(conn)
			resp, err := http1.ReadResponse(pc.br, client.Limits)
			if err != nil {
				t.Fatal(err)
			}
			stream := newStreamRelay(client, &Attempt{delivery: delivery{mayHaveRun: true}}, pc, resp, discardSink{})
			out := stream.relay()
			if served := out.Result == routing.Served; served != c.served {
				t.Errorf("result %v: %v", out.Result, out.Err)
			}
			if pc.extra != (extraTime{}) {
				t.Error("the connection's next request has extra time")
			}
		})
	}
}

// TestExtraTimeEnds checks both bounds of the extra time: the wait for the next byte and the whole.
func TestExtraTimeEnds(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		lastReadAt, end time.Time
		want            bool
	}{
		"bytes keep coming": {now, now.Add(time.Hour), true},
		"no byte for long":  {now.Add(-2 * time.Minute), now.Add(time.Hour), false},
		"over":              {now, now.Add(-time.Second), false},
	} {
		conn := &slowConn{}
		pc := newPersistConn(conn)
		pc.extra, pc.lastReadAt = extraTime{maxGap: time.Minute, end: c.end}, c.lastReadAt
		if got := pc.startExtraTime(); got != c.want || len(conn.deadlines) > 0 != c.want {
			t.Errorf("%s: %v, deadlines %v", name, got, conn.deadlines)
		}
	}
}
