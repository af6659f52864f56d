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
	retryAfter  time.Duration // of a rejection; 0 = none
	noAutoRetry bool          // SDKs must not retry by themselves
	requestID   string        // X-Request-Id; "" = no field
	reason      string        // why the request was not served, for logs and metrics; "" if it was
}

// Codes of errors.
const (
	codeBusy              = "busy"                     // rejected by the router; retrying is harmless
	codeOverloaded        = "overloaded"               // shed before it was read
	codeMalformed         = "malformed"                // not HTTP, too large, or not whole in time
	codePipelined         = "pipelined"                // sent before the answer to the request before
	codeDuplicateID       = "open_already"             // an open request has the same client id
	codeNotFound          = "not_found"                // no such path
	codeNoIdempotencyKey  = "idempotency_key_missing"  // the class needs one
	codePossibleDuplicate = "earlier_try_may_have_run" // a client's own retry that was not run
	codeFailed            = "failed"
	codeTimeout           = "timeout"
	codeStreamBroken      = "stream_broken" // the last event of a stream that broke
)

// Reasons for not serving a request that are found here, as metric label values; the router's are routing.Reason's.
const (
	reasonStreamBroke   = "stream broke"
	reasonClientClosed  = "client closed its connection"
	reasonPipelined     = "client sent more before its answer"
	reasonAnswerTimeout = "answer not whole in time"
	reasonNoDecision    = "no decision in time"
)

// errPipelined answers a client that sends a request before the answer to the one before.
var errPipelined = &api.Error{
	Status: http.StatusBadRequest, Type: api.TypeInvalidRequest, Code: codePipelined,
	Message: "one request at a time on a connection",
}

func errorResponse(e *api.Error) Response { return Response{Status: e.Status, Body: e.JSON()} }

// shedResponse answers a request that exceeds a limit of the gateway and was not read.
func shedResponse(message string) Response {
	response := errorResponse(&api.Error{
		Status: http.StatusServiceUnavailable, Type: api.TypeServer, Code: codeOverloaded, Message: message,
	})
	response.retryAfter = time.Second
	return response
}

// rejectionResponse answers a request that the router rejected; retrying it is harmless.
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

// possibleDuplicateResponse answers a client's own retry that was not run, since an earlier one may have run.
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

// failureResponse promises nothing about effects. Where there may be some, the response forbids SDKs to retry
// by themselves.
func failureResponse(request *inflightRequest, reason string) Response {
	idempotent := request.class.Idempotency == routing.Idempotent
	e := &api.Error{
		Status: http.StatusBadGateway, Type: api.TypeServer, Code: codeFailed,
		Message: "the request failed; it may have run",
	}
	if idempotent {
		e.Message = "the request failed; it is safe to try again"
	}
	if !time.Now().Before(request.deadline) {
		e.Status, e.Code = http.StatusGatewayTimeout, codeTimeout
	}
	response := errorResponse(e)
	response.noAutoRetry = !idempotent
	response.reason = reason
	return response
}

// brokenStreamEvent is the last event of a stream that broke, under the policy SendErrorEvent.
func brokenStreamEvent() []byte {
	e := &api.Error{Type: api.TypeServer, Code: codeStreamBroken, Message: "the stream broke; it may have run on"}
	return append(append([]byte("data: "), e.JSON()...), "\n\n"...)
}

// headRoom is the space reserved for the head of a response, which is allocated in one piece with its body.
const headRoom = 256

// appendTo appends the whole message to b.
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
