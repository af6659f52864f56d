package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// releaseMessageSize is the usual size of a release request in bytes, for which memory is allocated in advance.
const releaseMessageSize = 96

// EngineProtocol implements the platform's protocol between a node and engines. It holds no state.
type EngineProtocol struct{}

var _ engine.Protocol = EngineProtocol{}

// AppendHead implements engine.Protocol. The deadline field holds the time that is left until the call's deadline, when
// the node stops waiting.
func (EngineProtocol) AppendHead(b []byte, endpoint *engine.Endpoint, call *engine.Call) []byte {
	b = append(b, "POST "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", endpoint.Address)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	b = http1.AppendField(b, headerRequestID, call.ID)
	if call.IdempotencyKey != "" { // engines use it to recognize retries
		b = http1.AppendField(b, engine.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	milliseconds := max(time.Until(call.Deadline).Milliseconds(), 1)
	return http1.AppendField(b, headerDeadline, strconv.FormatInt(milliseconds, 10))
}

// ParseReply implements engine.Protocol.
func (EngineProtocol) ParseReply(prefill bool, resp *http1.Response, body []byte, _ error) engine.Outcome {
	if prefill && resp.Status == http.StatusAccepted {
		return engine.Outcome{Result: routing.PrefillDone, CachedTokens: parseCachedTokens(body)}
	}
	out := engine.Outcome{Result: routing.EngineError, Err: fmt.Errorf("engine returned status %d", resp.Status)}
	if resp.Header.Get(headerDeclined) != declinedTrue {
		return out
	}
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		out.Result = routing.Rejected
	case http.StatusGone:
		out.Result, out.StateMissing = routing.Rejected, true
	}
	return out
}

// parseCachedTokens parses how many tokens of the prompt were cached before a prefill. It returns 0 if the reply has no
// valid number.
func parseCachedTokens(body []byte) float64 {
	tokens := gjson.GetBytes(body, "cached_tokens")
	if !json.Valid(body) || tokens.Type != gjson.Number || tokens.Num < 0 || tokens.Num > maxTokens {
		return 0
	}
	return tokens.Num
}

// ReleaseMessage implements engine.Protocol.
func (EngineProtocol) ReleaseMessage(endpoint *engine.Endpoint, id string) []byte {
	b := append(make([]byte, 0, releaseMessageSize), "DELETE "+pathStatePrefix...)
	b = append(b, id...)
	b = append(b, " HTTP/1.1\r\n"...)
	return append(http1.AppendField(b, "Host", endpoint.Address), "\r\n"...)
}

// ReleaseAccepted implements engine.Protocol.
func (EngineProtocol) ReleaseAccepted(status int) bool { return status/100 == 2 }
