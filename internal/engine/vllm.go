package engine

import (
	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// The extension that an engine may speak beside vLLM's convention; docs/front.md has it in full.
const (
	PathRelease          = "/v1/brackenbend/release" // POST {"request_id": ...}: let go of a read state
	HeaderNeverRan       = "X-Brackenbend-Never-Ran" // on 429 and 503: turned away before it ran
	HeaderNoState        = "X-Brackenbend-No-State"  // beside it: there was no read state to fetch
	HeaderLoadReport     = "endpoint-load-metrics"   // ORCA load report
	fieldLoadAsk         = "endpoint-load-metrics-format"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// VLLM is vLLM's published convention, with this product's extension where engines speak it.
type VLLM struct {
	Extended  bool
	UserAgent string // User-Agent
}

// AppendHead implements Dialect.
func (d VLLM) AppendHead(b []byte, s *Endpoint, call *Call) []byte {
	b = append(b, "POST "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", s.Address)
	b = http1.AppendField(b, "User-Agent", d.UserAgent)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	b = http1.AppendField(b, HeaderRequestID, call.ID)
	if call.IdempotencyKey != "" {
		b = http1.AppendField(b, HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return http1.AppendField(b, fieldLoadAsk, "TEXT")
}

// ParseReply implements Dialect.
func (d VLLM) ParseReply(read bool, resp *http1.Response, text []byte, err error) Outcome {
	out := Outcome{Result: routing.EngineError, Err: fmt.Errorf("engine: answered %d", resp.Status)}
	switch resp.Status {
	case 200:
		return readReply(text)
	case 429, 503:
		if d.Extended && resp.Header.Get(HeaderNeverRan) == "1" {
			out.Result, out.StateMissing = routing.Rejected, resp.Header.Get(HeaderNoState) == "1"
		}
	case 400, 413, 422:
		if err == nil {
			out.Result, out.Reply = routing.Served, &Reply{resp.Status, text}
		}
	}
	return out
}

// readReply reads the answer to a read; a write's 200 is a stream.
func readReply(text []byte) Outcome {
	reply, err := api.ParsePrefillReply(text)
	switch {
	case err != nil:
		return Outcome{Result: routing.EngineError, Err: err}
	case reply.KVTransferParams == nil:
		return Outcome{Result: routing.EngineError, Err: errors.New("engine: a reader answered without kv_transfer_params")}
	}
	return Outcome{Result: routing.PrefillDone, KVTransferParams: reply.KVTransferParams, CachedTokens: reply.CachedTokens}
}

// ReleaseMessage implements Dialect.
func (d VLLM) ReleaseMessage(s *Endpoint, id string) []byte {
	if !d.Extended {
		return nil
	}
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil { // a string always marshals
		panic(err)
	}
	b := d.AppendHead(nil, s, &Call{Path: PathRelease, ID: id, Body: body})
	return append(append(b, "\r\n"...), body...)
}

// ReleaseAccepted implements Dialect; 404: nothing is held.
func (VLLM) ReleaseAccepted(status int) bool { return status == 200 || status == 404 }
