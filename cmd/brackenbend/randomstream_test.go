package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// randomStreams is how many spoilt streams TestRandomSpoiltStreamsAreGivenUp plays at once.
const randomStreams = 100

// spoiltPieces are what random spoilt streams consist of.
var spoiltPieces = []string{
	tokenEvent, finishEvent, usageEvent, doneEvent, ": ping\n\n", "data: {}\n\n", "data: ping\n\n", "data:\n\n",
	"event: ping\ndata: {\"type\":\"ping\"}\n\n", "data: {\"choices\":[]}\n\n", "data: {\"choices\":[{\"delta\":", "data: ", "\n",
	"\n\n", "\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "\x00\xff\x16", "x", "}]}", "52\r\n", "0\r\n\r\n", "0\r\n", "zz\r\n",
	": Srv-Load: TEXT inflight=7\n\n",
}

// randomSpoilPlan returns a spoilt stream without an end: random pieces, framed as one chunk, as chunks of their own, or
// not at all.
func randomSpoilPlan(r *rand.Rand) spoilPlan {
	framed := func(pieces int) string {
		var text strings.Builder
		for range pieces {
			piece := spoiltPieces[r.IntN(len(spoiltPieces))]
			if r.IntN(2) == 0 {
				piece = chunkOf(piece)
			}
			text.WriteString(piece)
		}
		return text.String()
	}
	starts := []string{"", hugeChunk, "ffff\r\n", "5;", "1fffff\r\n", "40\r\n"}
	plan := spoilPlan{start: starts[r.IntN(len(starts))] + framed(r.IntN(3)), repeat: framed(1 + r.IntN(4))}
	if r.IntN(3) == 0 {
		plan.repeat = chunkOf(plan.repeat)
	}
	return plan
}

// TestRandomSpoiltStreamsAreGivenUp plays random spoilt streams from a seed, which BRACKENBEND_SEED replaces.
func TestRandomSpoiltStreamsAreGivenUp(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv("BRACKENBEND_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 0))
	spoilt := map[string]spoilPlan{}
	for i := range randomStreams {
		spoilt[fmt.Sprintf("random%d", i)] = randomSpoilPlan(r)
	}
	checkSpoiltStreamsEnd(t, shortAnswer, spoilt)
}
