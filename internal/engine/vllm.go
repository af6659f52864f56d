package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Paths and header fields of the protocol. Those with brackenbend in their name belong to an optional extension of
// vLLM's convention, which docs/gateway.md specifies.
const (
	PathRelease            = "/v1/brackenbend/release" // POST {"request_id": ...} releases a read state
	HeaderNeverRan         = "X-Brackenbend-Never-Ran" // "1" on 429 and 503: the request was rejected before it ran
	HeaderNoState          = "X-Brackenbend-No-State"  // "1" along with HeaderNeverRan: there was no read state to fetch
	HeaderLoadReport       = "endpoint-load-metrics"   // an ORCA load report
	headerLoadReportFormat = "endpoint-load-metrics-format"
	HeaderRequestID        = "X-Request-Id"
	HeaderIdempotencyKey   = "Idempotency-Key"
)

// VLLM implements Protocol for vLLM's published convention, optionally with the extension of this project.
type VLLM struct {
	Extended  bool   // engines support the extension
	UserAgent string // value of the User-Agent header
}

// AppendHead implements Protocol.
func (v VLLM) AppendHead(b []byte, e *Endpoint, call *Call) []byte {
	b = append(b, "POST "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", e.Address)
	b = http1.AppendField(b, "User-Agent", v.UserAgent)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	b = http1.AppendField(b, HeaderRequestID, call.ID)
	if call.IdempotencyKey != "" {
		b = http1.AppendField(b, HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return http1.AppendField(b, headerLoadReportFormat, "TEXT")
}

// ParseReply implements Protocol.
func (v VLLM) ParseReply(_ bool, resp *http1.Response, body []byte, err error) Outcome {
	out := Outcome{Result: routing.EngineError, Err: fmt.Errorf("engine returned status %d", resp.Status)}
	switch resp.Status {
	case http.StatusOK:
		return parsePrefillReply(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if v.Extended && resp.Header.Get(HeaderNeverRan) == "1" {
			out.Result, out.StateMissing = routing.Rejected, resp.Header.Get(HeaderNoState) == "1"
		}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		if err == nil {
			out.Result, out.Reply = routing.Served, &Reply{resp.Status, body}
		}
	}
	return out
}

// parsePrefillReply parses the body of a prefill's response with status 200.
func parsePrefillReply(body []byte) Outcome {
	reply, err := api.ParsePrefillReply(body)
	switch {
	case err != nil:
		return Outcome{Result: routing.EngineError, Err: err}
	case reply.KVTransferParams == nil:
		return Outcome{Result: routing.EngineError, Err: errNoTransferParams}
	}
	return Outcome{
		Result: routing.PrefillDone, KVTransferParams: reply.KVTransferParams, CachedTokens: reply.CachedTokens,
	}
}

// ReleaseMessage implements Protocol.
func (v VLLM) ReleaseMessage(e *Endpoint, id string) []byte {
	if !v.Extended {
		return nil
	}
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil { // a string always marshals
		panic(err)
	}
	b := v.AppendHead(nil, e, &Call{Path: PathRelease, ID: id, Body: body})
	return append(append(b, "\r\n"...), body...)
}

// ReleaseAccepted implements Protocol. Status 404 means that the engine holds no such state.
func (VLLM) ReleaseAccepted(status int) bool {
	return status == http.StatusOK || status == http.StatusNotFound
}
