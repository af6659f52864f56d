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
	// neverReset is resetAt of a stream that is not reset.
	neverReset = -1
	// maxTokensBeforeReset bounds what is sent of a stream before the fault ResetMidStream.
	maxTokensBeforeReset = 5
)

// decodeStream is a decode under way: the stream of its answer.
type decodeStream struct {
	*completion

	fetched bool // the read state is here, or none is to be fetched
	started bool // the first token is out
	sent    int  // tokens
	resetAt int  // token before which the stream is reset
}

func newDecodeStream(c *completion) *decodeStream {
	d := &decodeStream{completion: c, fetched: c.job.FetchTokens == 0, resetAt: neverReset}
	if rand.Float64() < c.faults.ResetMidStream {
		d.resetAt = 1 + rand.IntN(maxTokensBeforeReset)
	}
	return d
}

// run streams the answer as the model writes it.
func (d *decodeStream) run() {
	ctx := d.r.Context()
	for {
		if !d.awaitChange(ctx) {
			d.abandon()
			if d.s.cfg.CanCancel {
				return
			}
			ctx = context.Background() // the work goes on; nobody reads the answer
			continue
		}
		if ended := d.advance(d.currentProgress()); ended {
			return
		}
	}
}

// advance carries the stream as far as the model is; true: it has ended.
func (d *decodeStream) advance(now progress) (ended bool) {
	switch {
	case now.lost:
		resetConnection(d.w)
		return true
	case now.begun && !d.fetched:
		if !d.s.fetchState(d.request.KV) {
			d.cancel()
			d.s.reject(d.w, true)
			return true
		}
		d.fetched = true
		d.notify() // tokens may have come meanwhile
		return false
	case now.tokens == 0:
		return false
	}
	if !d.started {
		d.started = true
		d.recordEffect()
		if d.failAfterEffect() {
			return true
		}
		d.writeHead("text/event-stream")
	}
	if reset := d.writeTokens(now.tokens); reset {
		return true
	}
	if now.done {
		d.writeEnd()
	}
	_ = http.NewResponseController(d.w).Flush() // fails only when the connection is gone
	return now.done
}

// failAfterEffect applies the faults of a request that has taken effect; true: it has failed by one.
func (d *decodeStream) failAfterEffect() bool {
	switch draw := rand.Float64(); {
	case draw < d.faults.ResetAfterEffect:
		resetConnection(d.w)
	case draw < d.faults.FailAfterEffect:
		http.Error(d.w, engineFault, http.StatusInternalServerError)
	case draw < d.faults.StallAfterEffect:
		<-d.r.Context().Done()
	default:
		return false
	}
	d.abandon()
	return true
}

// writeTokens writes the tokens up to a number; true: the stream was reset before.
func (d *decodeStream) writeTokens(upTo int) (reset bool) {
	for ; d.sent < upTo; d.sent++ {
		if d.resetAt == d.sent {
			resetConnection(d.w)
			d.abandon()
			return true
		}
		d.writeToken()
	}
	for d.s.currentHooks().endlessStreams {
		d.writeToken()
		if d.r.Context().Err() != nil {
			break
		}
	}
	return false
}

// writeToken writes the event of the next token, which has the same content in each choice.
func (d *decodeStream) writeToken() {
	d.writeEvent(d.eventChoices(fmt.Sprintf("w%d ", d.sent), d.sent == 0, nil), nil)
}

// writeEnd writes the end of the stream. An answer that max_tokens cut has the finish reason for it.
func (d *decodeStream) writeEnd() {
	finishReason := "stop"
	if limit := d.request.maxTokens(); limit > 0 && d.job.OutputTokens >= limit {
		finishReason = "length"
	}
	d.writeEvent(d.eventChoices("", false, finishReason), nil)
	if d.request.Options.Usage {
		promptTokens, answerTokens := int(d.job.PromptTokens), d.job.OutputTokens*d.request.choices()
		d.writeEvent([]any{}, object{"usage": map[string]int{
			"prompt_tokens":     promptTokens,
			"completion_tokens": answerTokens,
			"total_tokens":      promptTokens + answerTokens,
		}})
	}
	writeString(d.w, "data: [DONE]\n\n")
}

// writeEvent writes one event with the given choices.
func (d *decodeStream) writeEvent(choices []any, more object) {
	kind := "chat.completion.chunk"
	if !d.request.isChat() {
		kind = "text_completion"
	}
	event := object{
		"id":      "cmpl-" + d.job.ID,
		"object":  kind,
		"created": d.created,
		"model":   d.request.Model,
		"choices": choices,
	}
	maps.Copy(event, more)
	encoded, err := json.Marshal(event)
	if err != nil { // plain values only
		panic(err)
	}
	writeString(d.w, "data: "+string(encoded)+"\n\n")
}

// eventChoices are the choices of one event, as many as were asked for. finishReason is nil before the end.
func (d *decodeStream) eventChoices(content string, first bool, finishReason any) []any {
	var choices []any
	for i := range d.request.choices() {
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
