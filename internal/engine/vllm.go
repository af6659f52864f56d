package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// The extension that an engine may speak beside vLLM's convention; docs/front.md has it in full.
const (
	PathRelease   = "/v1/brackenbend/release" // POST {"request_id": ...}: let go of a read state
	FieldNeverRan = "X-Brackenbend-Never-Ran" // on 429 and 503: turned away before it ran
	FieldNoState  = "X-Brackenbend-No-State"  // beside it: there was no read state to fetch
	FieldLoad     = "endpoint-load-metrics"   // ORCA load report
	fieldLoadAsk  = "endpoint-load-metrics-format"
	FieldID       = "X-Request-Id"
	FieldKey      = "Idempotency-Key"
)

// VLLM is vLLM's published convention, with this product's extension where engines speak it.
type VLLM struct {
	Extended bool
	Agent    string // User-Agent
}

// Head implements Dialect.
func (d VLLM) Head(b []byte, s *Server, call *Call) []byte {
	b = append(b, "POST "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", s.Address)
	b = http1.AppendField(b, "User-Agent", d.Agent)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	b = http1.AppendField(b, FieldID, call.ID)
	if call.Key != "" {
		b = http1.AppendField(b, FieldKey, call.Key)
	}
	return http1.AppendField(b, fieldLoadAsk, "TEXT")
}

// Whole implements Dialect.
func (d VLLM) Whole(read bool, resp *http1.Response, text []byte, err error) Outcome {
	out := Outcome{Result: routing.Errored, Err: fmt.Errorf("engine: answered %d", resp.Status)}
	switch resp.Status {
	case 200:
		return readReply(text)
	case 429, 503:
		if d.Extended && resp.Header.Get(FieldNeverRan) == "1" {
			out.Result, out.NoState = routing.Turned, resp.Header.Get(FieldNoState) == "1"
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
	reply, err := api.ParseReadReply(text)
	switch {
	case err != nil:
		return Outcome{Result: routing.Errored, Err: err}
	case reply.KV == nil:
		return Outcome{Result: routing.Errored, Err: errors.New("engine: a reader answered without kv_transfer_params")}
	}
	return Outcome{Result: routing.ReadDone, KV: reply.KV, Kept: reply.Cached}
}

// Release implements Dialect.
func (d VLLM) Release(s *Server, id string) []byte {
	if !d.Extended {
		return nil
	}
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil { // a string always marshals
		panic(err)
	}
	b := d.Head(nil, s, &Call{Path: PathRelease, ID: id, Body: body})
	return append(append(b, "\r\n"...), body...)
}

// Released implements Dialect; 404: nothing is held.
func (VLLM) Released(status int) bool { return status == 200 || status == 404 }
