package main

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

const (
	// longestWait is how long a client may wait after an engine's last event, with the slack of all time limits.
	longestWait = 5*time.Second + 50*time.Millisecond
	// spoiltClientPatience is how long a client of a spoilt stream waits in all.
	spoiltClientPatience = 8 * time.Second

	tokenEvent  = `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}` + "\n\n"
	finishEvent = `data: {"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":"stop"}]}` + "\n\n"
	usageEvent  = `data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":1}}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"

	// hugeChunk begins a chunk that is said to hold 3 GB.
	hugeChunk = "c0000000\r\n"
)

// longAnswer is a number of tokens that no stream of these tests reaches.
const longAnswer = 800

// checkSpoiltStreamsEnd sends a request for each spoilt stream to a fleet of processes, all at once, for an answer of
// at most maxTokens. It checks that each client's connection ends in time after the engine's last event, without the
// last chunk.
func checkSpoiltStreamsEnd(t *testing.T, maxTokens int, spoilt map[string]spoilPlan) {
	t.Helper()
	f := newFleet(t, fleetPlan{prefillEngines: 1, decodeEngines: 1, stateTTL: time.Second, spoilt: spoilt})
	var group sync.WaitGroup
	for id := range spoilt {
		conn := f.sendFor(t, id, idempotentClass, maxTokens)
		group.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(spoiltClientPatience))
			answer, err := io.ReadAll(conn)
			endedAt, lastEventAt := time.Now(), f.spoilingProxy.firstEvent(id)
			switch waited := endedAt.Sub(lastEventAt); {
			case lastEventAt.IsZero():
				t.Errorf("%s: the stream did not begin", id)
			case waited > longestWait:
				t.Errorf("%s: the client was left waiting for %.1f s after the last event (%v)", id, waited.Seconds(), err)
			case !strings.Contains(string(answer), tokenEvent[:len(tokenEvent)-len("\n\n")]):
				t.Errorf("%s: the engine's first event is missing: %q", id, answer)
			case bytes.HasSuffix(answer, []byte(http1.LastChunk)):
				t.Errorf("%s: the broken stream ended with the last chunk", id)
			}
		})
	}
	group.Wait()
}

// TestStreamInAMisframedChunkIsGivenUp guards against clients that are left waiting behind a chunk that is larger than
// any stream, or than what was written as one chunk, and whose bytes look like events.
func TestStreamInAMisframedChunkIsGivenUp(t *testing.T) {
	checkSpoiltStreamsEnd(t, longAnswer, map[string]spoilPlan{
		"events-in-a-huge-chunk":          {start: hugeChunk, repeat: tokenEvent},
		"data-in-a-huge-chunk":            {start: hugeChunk, repeat: "data: noise\n\n"},
		"chunks-in-a-huge-chunk":          {start: hugeChunk, repeat: chunkOf(tokenEvent)},
		"chunks-in-an-oversize-chunk":     {start: "ffff\r\n", repeat: chunkOf(tokenEvent)},
		"another-answer-in-a-huge-chunk":  {start: hugeChunk, repeat: "HTTP/1.1 200 OK\r\n\r\n" + tokenEvent},
		"another-answer-in-an-oversize-1": {start: "ffff\r\n", repeat: "HTTP/1.1 200 OK\r\n\r\n" + tokenEvent},
	})
}

// TestStreamOfEventsWithoutAnswerIsGivenUp guards against clients that are left waiting behind events that are no part
// of an answer.
func TestStreamOfEventsWithoutAnswerIsGivenUp(t *testing.T) {
	checkSpoiltStreamsEnd(t, longAnswer, map[string]spoilPlan{
		"empty-objects":   {repeat: chunkOf("data: {}\n\n")},
		"empty-data":      {repeat: chunkOf("data:\n\n")},
		"no-JSON":         {repeat: chunkOf("data: ping\n\n")},
		"another-kind":    {repeat: chunkOf("event: ping\ndata: {\"type\":\"ping\"}\n\n")},
		"without-choices": {repeat: chunkOf("data: {\"choices\":[]}\n\n")},
	})
}

// TestStreamAfterTheAnswersEndIsGivenUp guards against clients that are left waiting behind a stream that goes on after
// the events that end an answer.
func TestStreamAfterTheAnswersEndIsGivenUp(t *testing.T) {
	checkSpoiltStreamsEnd(t, longAnswer, map[string]spoilPlan{
		"usage-again":            {start: chunkOf(finishEvent), repeat: chunkOf(usageEvent)},
		"DONE-again":             {start: chunkOf(finishEvent + usageEvent), repeat: chunkOf(doneEvent)},
		"tokens-after-a-finish":  {start: chunkOf(finishEvent), repeat: chunkOf(tokenEvent)},
		"tokens-after-the-usage": {start: chunkOf(finishEvent + usageEvent), repeat: chunkOf(tokenEvent)},
		"tokens-after-DONE":      {start: chunkOf(finishEvent + doneEvent), repeat: chunkOf(tokenEvent)},
	})
}

// TestStreamOfTooManyTokensIsGivenUp guards against clients that are left waiting behind an engine that repeats an
// event: the answer is longer than the client has allowed.
func TestStreamOfTooManyTokensIsGivenUp(t *testing.T) {
	checkSpoiltStreamsEnd(t, shortAnswer, map[string]spoilPlan{
		"a-token-again-and-again": {repeat: chunkOf(tokenEvent)},
	})
}

// TestStreamWithoutEventsIsGivenUp guards against clients that are left waiting behind an engine that is silent, or
// whose bytes hold no event.
func TestStreamWithoutEventsIsGivenUp(t *testing.T) {
	checkSpoiltStreamsEnd(t, longAnswer, map[string]spoilPlan{
		"silence":                     {repetitions: 1},
		"silence-after-half-an-event": {start: chunkOf(`data: {"choices"`), repetitions: 1},
		"half-an-event-without-an-end": {
			start: chunkOf(`data: {"choices":[{"delta":{"content":"`), repeat: chunkOf(strings.Repeat("x", 75)),
		},
		"silence-after-DONE":          {start: chunkOf(finishEvent + doneEvent), repetitions: 1},
		"silence-in-a-huge-chunk":     {start: hugeChunk, repetitions: 1},
		"noise-in-a-huge-chunk":       {start: hugeChunk, repeat: strings.Repeat("x", 75)},
		"spaces-in-a-huge-chunk":      {start: hugeChunk, repeat: strings.Repeat(" ", 75)},
		"lines-in-a-huge-chunk":       {start: hugeChunk, repeat: "noise\n\n"},
		"comments":                    {repeat: chunkOf(": ping\n\n")},
		"comments-after-DONE":         {start: chunkOf(finishEvent + doneEvent), repeat: chunkOf(": ping\n\n")},
		"empty-lines":                 {repeat: chunkOf("\n")},
		"a-trailer-without-an-end":    {start: chunkOf(finishEvent+doneEvent) + "0\r\n", repeat: "X: a\r\n"},
		"a-chunk-size-without-an-end": {start: "5;", repeat: "x"},
	})
}
