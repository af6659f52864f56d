package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
)

const (
	// neverReset is the resetAfterTokens of a stream that is not reset.
	neverReset = -1
	// maxTokensBeforeReset bounds the tokens sent before the fault ResetMidStream resets a stream.
	maxTokensBeforeReset = 5
)

// decodeStream is the streamed answer of a decode in flight.
type decodeStream struct {
	*completion

	stateFetched     bool // the read state was fetched, or none has to be
	tookEffect       bool // the first token was generated, with which the request takes effect
	tokensSent       int
	resetAfterTokens int // number of tokens sent before the stream is reset
}

func newDecodeStream(c *completion) *decodeStream {
	d := &decodeStream{completion: c, stateFetched: c.job.FetchTokens == 0, resetAfterTokens: neverReset}
	if rand.Float64() < c.faults.ResetMidStream {
		d.resetAfterTokens = 1 + rand.IntN(maxTokensBeforeReset)
	}
	return d
}

// run streams the answer as the model generates it.
func (d *decodeStream) run() {
	ctx := d.httpReq.Context()
	for {
		if !d.awaitChange(ctx) {
			d.abandon()
			if d.server.cfg.CanCancel {
				return
			}
			ctx = context.Background() // the job goes on, though the client has disconnected
			continue
		}
		if ended := d.advance(d.currentProgress()); ended {
			return
		}
	}
}

// advance sends the tokens that the model has generated, and reports whether the stream has ended.
func (d *decodeStream) advance(current progress) (ended bool) {
	switch {
	case current.lost:
		resetRequest(d.writer)
		return true
	case current.started && !d.stateFetched:
		if !d.server.fetchState(d.request.KVTransfer) {
			d.cancel()
			d.server.reject(d.writer, true)
			return true
		}
		d.stateFetched = true
		d.notify() // tokens may have been generated meanwhile
		return false
	case current.tokens == 0:
		return false
	}
	if !d.tookEffect {
		d.tookEffect = true
		d.recordEffect()
		if d.failAfterEffect() {
			return true
		}
		d.setHeader("text/event-stream")
	}
	if reset := d.writeTokens(current.tokens); reset {
		return true
	}
	if current.done {
		d.writeEnd()
	}
	_ = http.NewResponseController(d.writer).Flush() // fails only if the connection has closed
	return current.done
}

// failAfterEffect applies the faults of a request that has taken effect, and reports whether one has ended it. One draw
// decides all of them: each occurs only as far as its fraction exceeds those of the cases before it.
func (d *decodeStream) failAfterEffect() bool {
	switch draw := rand.Float64(); {
	case draw < d.faults.ResetAfterEffect:
		resetRequest(d.writer)
	case draw < d.faults.FailAfterEffect:
		http.Error(d.writer, faultBody, http.StatusInternalServerError)
	case draw < d.faults.StallAfterEffect:
		<-d.httpReq.Context().Done()
	default:
		return false
	}
	d.abandon()
	return true
}

// writeTokens writes tokens until target have been sent, and reports whether the stream was reset before that. While
// streams are endless, it writes more tokens until the connection closes.
func (d *decodeStream) writeTokens(target int) (reset bool) {
	for ; d.tokensSent < target; d.tokensSent++ {
		if d.resetAfterTokens == d.tokensSent {
			resetRequest(d.writer)
			d.abandon()
			return true
		}
		d.writeToken()
	}
	for d.server.currentHooks().endlessStreams {
		d.writeToken()
		if d.httpReq.Context().Err() != nil {
			break
		}
	}
	return false
}

// writeToken writes the event of the next token, which is the same in each choice.
func (d *decodeStream) writeToken() {
	d.writeEvent(d.eventChoices(fmt.Sprintf("w%d ", d.tokensSent), d.tokensSent == 0, nil), nil)
}

// writeEnd writes the end of the stream. The finish reason of an answer that reaches its token limit is length.
func (d *decodeStream) writeEnd() {
	finishReason := "stop"
	if limit := d.request.maxTokens(); limit > 0 && d.job.OutputTokens >= limit {
		finishReason = "length"
	}
	d.writeEvent(d.eventChoices("", false, finishReason), nil)
	if d.request.StreamOptions.IncludeUsage {
		promptTokens, answerTokens := int(d.job.PromptTokens), d.job.OutputTokens*d.request.choiceCount()
		d.writeEvent([]any{}, object{"usage": map[string]int{
			"prompt_tokens":     promptTokens,
			"completion_tokens": answerTokens,
			"total_tokens":      promptTokens + answerTokens,
		}})
	}
	writeString(d.writer, "data: [DONE]\n\n")
}

// writeEvent writes one event with the given choices and the fields of extra.
func (d *decodeStream) writeEvent(choices []any, extra object) {
	objectType := "chat.completion.chunk"
	if !d.request.isChat() {
		objectType = "text_completion"
	}
	event := object{
		"id":      "cmpl-" + d.job.ID,
		"object":  objectType,
		"created": d.created,
		"model":   d.request.Model,
		"choices": choices,
	}
	maps.Copy(event, extra)
	encoded, err := json.Marshal(event)
	if err != nil { // impossible: all values are plain
		panic(err)
	}
	writeString(d.writer, "data: "+string(encoded)+"\n\n")
}

// eventChoices returns the choices of one event. finishReason is nil before the end of the stream.
func (d *decodeStream) eventChoices(content string, first bool, finishReason any) []any {
	var choices []any
	for i := range d.request.choiceCount() {
		choice := object{"index": i, "finish_reason": finishReason}
		if d.request.isChat() {
			delta := object{}
			if content != "" {
				delta["content"] = content
			}
			if first {
				delta["role"] = "assistant"
			}
			choice["delta"] = delta
		} else {
			choice["text"] = content
		}
		choices = append(choices, choice)
	}
	return choices
}
