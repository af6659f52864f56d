package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// randomAnswers is how many spoilt answers each of these tests plays at once.
const randomAnswers = 100

// spoiltPieces are what random spoilt streams consist of.
var spoiltPieces = []string{
	tokenEvent, finishEvent, usageEvent, doneEvent, ": ping\n\n", "data: {}\n\n", "data: ping\n\n", "data:\n\n",
	"event: ping\ndata: {\"type\":\"ping\"}\n\n", "data: {\"choices\":[]}\n\n", ": Srv-Load: TEXT inflight=7\n\n",
	"data: {\"choices\":[{\"delta\":", "data: ", "\n", "\n\n", "\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
	"\x00\xff\x16", "x", "}]}", "52\r\n", "0\r\n\r\n", "0\r\n", "zz\r\n",
}

// openingPieces are what random openings of answers consist of.
var openingPieces = []string{
	"HTTP/1.1 ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 202 Accepted\r\n", "HTTP/1.1 503 x\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 103 x\r\nA: b\r\n\r\n", "Srv-Declined: 1\r\n", "Content-Length: 5\r\n", "Content-Length: 3000000000\r\n",
	"Transfer-Encoding: chunked\r\n", "X: y\r\n", "\r\n", "\x00\xff\x16", hugeChunk, tokenEvent,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 500 x\r\nContent-Length: 300000\r\n\r\n", "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n",
}

// seededRand returns a source of random numbers for a test. The environment variable BRACKENBEND_SEED replaces its
// seed, which is 1.
func seededRand(t *testing.T) *rand.Rand {
	t.Helper()
	seed := uint64(1)
	if text := os.Getenv("BRACKENBEND_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// randomText returns random pieces one behind the other, each of them framed as a chunk or not.
func randomText(r *rand.Rand, pieces []string, count int) string {
	var text strings.Builder
	for range count {
		piece := pieces[r.IntN(len(pieces))]
		if r.IntN(2) == 0 {
			piece = chunkOf(piece)
		}
		text.WriteString(piece)
	}
	return text.String()
}

// randomSpoilPlan returns a spoilt stream without an end. Its random pieces are framed as one chunk, as chunks of their
// own, or not at all.
func randomSpoilPlan(r *rand.Rand) spoilPlan {
	starts := []string{"", hugeChunk, "ffff\r\n", "5;", "1fffff\r\n", "40\r\n"}
	plan := spoilPlan{
		start:  starts[r.IntN(len(starts))] + randomText(r, spoiltPieces, r.IntN(3)),
		repeat: randomText(r, spoiltPieces, 1+r.IntN(4)),
	}
	if r.IntN(3) == 0 {
		plan.repeat = chunkOf(plan.repeat)
	}
	return plan
}

// TestRandomSpoiltStreamsAreGivenUp guards against clients that are left waiting behind streams that nobody thought of.
func TestRandomSpoiltStreamsAreGivenUp(t *testing.T) {
	r, spoilt := seededRand(t), map[string]spoilPlan{}
	for i := range randomAnswers {
		spoilt[fmt.Sprintf("random%d", i)] = randomSpoilPlan(r)
	}
	checkSpoiltStreamsEnd(t, shortAnswer, spoilt)
}

// TestRandomSpoiltOpeningsAreAnswered guards against clients that get no final answer in time since an engine's answer
// is spoilt from its beginning, at either stage.
func TestRandomSpoiltOpeningsAreAnswered(t *testing.T) {
	r, prefills, decodes := seededRand(t), map[string]spoilPlan{}, map[string]spoilPlan{}
	for i := range randomAnswers {
		plan := randomSpoilPlan(r)
		plan.opening = randomText(r, openingPieces, 1+r.IntN(4))
		plan.repetitions = r.IntN(4)
		[]map[string]spoilPlan{prefills, decodes}[i%2][fmt.Sprintf("opening%d", i)] = plan
	}
	f := newFleet(t, fleetPlan{
		prefillEngines: 1, decodeEngines: 1, stateTTL: time.Second, spoiltPrefills: prefills, spoilt: decodes,
	})
	var group sync.WaitGroup
	for i := range randomAnswers {
		id, class := fmt.Sprintf("opening%d", i), []string{idempotentClass, notIdempotentClass}[i/2%2]
		conn := f.send(t, id, class)
		group.Go(func() {
			sentAt := time.Now()
			_ = conn.SetReadDeadline(sentAt.Add(latestFleetAnswer + longestWait))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if begunAfter := time.Since(sentAt); err != nil || begunAfter > latestFleetAnswer {
				t.Errorf("%s, %s: no final answer after %v: %v", id, class, begunAfter, err)
				return
			}
			begunAt := time.Now()
			_, _ = io.Copy(io.Discard, resp.Body) // a stream that began may break
			if waited := time.Since(begunAt); waited > longestWait {
				t.Errorf("%s, %s: the client was left waiting for %v", id, class, waited)
			}
		})
	}
	group.Wait()
}
