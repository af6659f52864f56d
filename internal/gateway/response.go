package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Response is a response to a client that is not a stream.
type Response struct {
	Status      int
	Body        []byte
	retryAfter  time.Duration // how long the client should wait before a retry; 0 = not given
	noAutoRetry bool          // tells SDKs not to retry automatically
	requestID   string        // X-Request-Id; "" = no field
	reason      string        // why the request was not served, for logs and metrics; "" if it was
}

// Error codes in responses.
const (
	codeBusy              = "busy"                     // rejected by the router; retrying is safe
	codeOverloaded        = "overloaded"               // shed before its body was read
	codeMalformed         = "malformed"                // not valid HTTP, too large, or not received in time
	codePipelined         = "pipelined"                // sent before the previous request was answered
	codeDuplicateID       = "open_already"             // an open request has the same client id
	codeNotFound          = "not_found"                // no such path
	codeNoIdempotencyKey  = "idempotency_key_missing"  // the request's class requires one
	codePossibleDuplicate = "earlier_try_may_have_run" // an SDK's automatic retry, which was not run
	codeFailed            = "failed"
	codeTimeout           = "timeout"
	codeStreamBroken      = "stream_broken" // in the last event of a broken stream
)

// Reasons why a request was not served, as metric label values. These are the reasons of the gateway itself; those of
// the router are named by routing.Reason.
const (
	reasonStreamBroke   = "stream broke"
	reasonClientClosed  = "client closed its connection"
	reasonPipelined     = "client sent more before its answer"
	reasonAnswerTimeout = "answer not whole in time"
	reasonNoDecision    = "no decision in time"
)

// errPipelined is the error for a client that sends a request before the previous one is answered.
var errPipelined = &api.Error{
	Status: http.StatusBadRequest, Type: api.TypeInvalidRequest, Code: codePipelined,
	Message: "one request at a time on a connection",
}

func errorResponse(apiErr *api.Error) Response {
	return Response{Status: apiErr.Status, Body: apiErr.JSON()}
}

// shedResponse is the response to a request that exceeds a limit of the gateway and whose body was not read.
func shedResponse(message string) Response {
	response := errorResponse(&api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeServer, Code: codeOverloaded, Message: message,
	})
	response.retryAfter = time.Second
	return response
}

// rejectionResponse is the response to a request that the router rejected. Retrying such a request is safe.
func rejectionResponse(rejection routing.Reject) Response {
	response := errorResponse(&api.Error{
		Status: http.StatusTooManyRequests, Type: api.TypeRateLimit, Code: codeBusy,
		Message: "not now; trying again after the told wait is harmless",
	})
	response.retryAfter = rejection.RetryAfter
	response.noAutoRetry = rejection.NoAutoRetry
	response.reason = rejection.Reason.String()
	return response
}

// possibleDuplicateResponse is the response to an SDK's automatic retry that was not run, since the request may already
// have run.
func possibleDuplicateResponse() Response {
	response := errorResponse(&api.Error{
		Status: http.StatusBadGateway, Type: api.TypeServer, Code: codePossibleDuplicate,
		Message: "the client repeated this request by itself (X-Stainless-Retry-Count), and an earlier try may have run; " +
			"this one did not. Find out whether it ran before asking anew",
	})
	response.noAutoRetry = true
	response.reason = routing.ReasonPossibleDuplicate.String()
	return response
}

// failureResponse is the response to a request that failed and may have had effects all the same. Unless the request is
// idempotent, the response tells SDKs not to retry automatically.
func failureResponse(request *inflightRequest, reason string) Response {
	idempotent := request.class.Idempotency == routing.Idempotent
	apiErr := &api.Error{
		Status: http.StatusBadGateway, Type: api.TypeServer, Code: codeFailed,
		Message: "the request failed; it may have run",
	}
	if idempotent {
		apiErr.Message = "the request failed; it is safe to try again"
	}
	if !time.Now().Before(request.deadline) {
		apiErr.Status, apiErr.Code = http.StatusGatewayTimeout, codeTimeout
	}
	response := errorResponse(apiErr)
	response.noAutoRetry = !idempotent
	response.reason = reason
	return response
}

// brokenStreamEvent is the last event of a broken stream under the policy SendErrorEvent.
func brokenStreamEvent() []byte {
	apiErr := &api.Error{Type: api.TypeServer, Code: codeStreamBroken, Message: "the stream broke; it may have run on"}
	return append(append([]byte("data: "), apiErr.JSON()...), "\n\n"...)
}

// headCapacity is the capacity reserved for a response's head in the buffer that holds both head and body.
const headCapacity = 256

// appendTo appends the head and the body of the response to b.
func (r *Response) appendTo(b []byte, format RetryAfterFormat, keepAlive bool) []byte {
	b = http1.AppendStatusLine(b, r.Status)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	b = r.appendRetryAfter(b, format)
	if r.requestID != "" {
		b = http1.AppendField(b, engine.HeaderRequestID, r.requestID)
	}
	if r.noAutoRetry {
		b = http1.AppendField(b, "x-should-retry", "false")
	}
	if !keepAlive {
		b = http1.AppendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

func (r *Response) appendRetryAfter(b []byte, format RetryAfterFormat) []byte {
	if r.retryAfter <= 0 || format == NoRetryAfter {
		return b
	}
	seconds := strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds())))
	if format == RetryAfterFractional {
		seconds = strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
	}
	b = http1.AppendField(b, "Retry-After", seconds)
	return http1.AppendField(b, "retry-after-ms", strconv.FormatInt(r.retryAfter.Milliseconds(), 10))
}
