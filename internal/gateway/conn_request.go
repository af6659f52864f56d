package gateway

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// continueResponse is the interim response to a client that waits for it before sending the body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// handleRequest handles one request. It returns whether the connection stays open.
func (c *clientConn) handleRequest(req *http1.Request) bool {
	var body http1.Body
	body.Reset(c.reader, &req.Message, c.gateway.limits)
	if response := c.gateway.Protocol.RespondDirectly(req); response != nil {
		return c.respond(req, &body, *response)
	}
	return c.serveCompletion(req, &body)
}

// respond writes the response to a request that is not passed to the router. It returns whether the connection stays
// open, which it does not if a part of the request's body is unread.
func (c *clientConn) respond(req *http1.Request, body *http1.Body, response Response) bool {
	keepAlive := !req.Close && body.AtEOF() && !c.gateway.drain.deadlinePassed()
	return c.writeResponse(response, keepAlive) == nil && keepAlive
}

// reject responds to an invalid request with an error and counts it under reason.
func (c *clientConn) reject(req *http1.Request, body *http1.Body, reason string, apiErr *api.Error) bool {
	c.recordEarlyRejection(reason, apiErr.Message)
	return c.respond(req, body, errorResponse(apiErr))
}

// shed rejects a request that the gateway can't take, such as one that exceeds a limit.
func (c *clientConn) shed(req *http1.Request, body *http1.Body, reason, message string) bool {
	c.recordEarlyRejection(reason, message)
	return c.respond(req, body, shedResponse(message))
}

// bodyReservation is the part of the limit on buffered body bytes that is reserved for a body while it is read.
type bodyReservation struct {
	totalBytes *atomic.Int64
	bytes      int64
}

func (b *bodyReservation) release() { b.totalBytes.Add(-b.bytes) }

// transferTo replaces the reservation by the body's actual size, which the request holds from then on.
func (b *bodyReservation) transferTo(request *inflightRequest, size int64) {
	request.bodyBytes.Store(size)
	b.totalBytes.Add(size - b.bytes)
	b.bytes = 0
}

// shedWhileDraining rejects a request whose answer the shutdown would cut off.
func (c *clientConn) shedWhileDraining(req *http1.Request, body *http1.Body) bool {
	return c.shed(req, body, "draining", "this front is going down; nothing was done")
}

// serveCompletion serves a completion request within the limits on open requests and buffered body bytes.
func (c *clientConn) serveCompletion(req *http1.Request, body *http1.Body) bool {
	g := c.gateway
	if g.rejectsWhileDraining() {
		return c.shedWhileDraining(req, body)
	}
	if g.openRequests.Add(1) > int64(g.Limits.MaxOpenRequests) {
		g.openRequests.Add(-1)
		return c.shed(req, body, "open requests", "too many requests are open at this front; nothing was done")
	}
	g.metrics.OpenRequests.Inc()
	defer func() { g.openRequests.Add(-1); g.metrics.OpenRequests.Dec() }()

	size, maxSize := req.ContentLength, int64(g.Limits.MaxBodyBytes)
	if size < 0 {
		size = maxSize
	}
	withinLimit := size <= maxSize
	if !withinLimit {
		size = 0 // readBody rejects it
	}
	if g.bodyBytes.Add(size) > int64(g.Limits.MaxBufferedBodyBytes) && withinLimit {
		g.bodyBytes.Add(-size)
		return c.shed(req, body, "body memory", "too many bytes of requests are held at this front; nothing was done")
	}
	reservation := bodyReservation{&g.bodyBytes, size}
	defer reservation.release()

	content, ok := c.readBody(req, body, withinLimit)
	if !ok {
		return false
	}
	if g.rejectsWhileDraining() { // the body may have arrived long after the head
		return c.shedWhileDraining(req, body)
	}
	return c.serveParsed(req, body, content, &reservation)
}

// readBody reads the whole body. On failure it returns false, after an error response where one can be sent, and the
// connection has to be closed.
func (c *clientConn) readBody(req *http1.Request, body *http1.Body, withinLimit bool) (content []byte, ok bool) {
	if req.ExpectContinue && withinLimit && c.write([]byte(continueResponse)) != nil {
		return nil, false
	}
	if req.Chunked || req.ContentLength > int64(c.reader.Buffered()) {
		if c.setReadDeadline(c.readDeadline(c.gateway.Limits.BodyTimeout)) != nil {
			return nil, false
		}
	}
	content, err := http1.ReadAll(body, int64(c.gateway.Limits.MaxBodyBytes))
	if err != nil {
		c.closeReason = closeReasonOf(err)
		c.writeReadError(err)
		return nil, false
	}
	return content, true
}

// serveParsed parses a request whose body has been read and serves it. It returns whether the connection stays open.
func (c *clientConn) serveParsed(
	req *http1.Request, body *http1.Body, content []byte, reservation *bodyReservation,
) bool {
	g := c.gateway
	request, apiErr := c.newInflightRequest(req, content)
	if apiErr != nil {
		return c.reject(req, body, "invalid", apiErr)
	}
	if g.Pipelining == RejectPipelining && c.reader.Buffered() > 0 { // the client may have given up on this request
		c.recordEarlyRejection("pipelined", request.displayID())
		_ = c.writeResponse(errorResponse(errPipelined), false) // the connection ends either way
		return false
	}
	idempotent := request.class.Idempotency == routing.Idempotent
	if !g.clientIDs.claim(request.clientID, idempotent) { // the event loop releases it with the request
		c.recordEarlyRejection("open already", request.clientID)
		return c.respond(req, body, errorResponse(&api.Error{
			Status: http.StatusConflict, Type: api.TypeInvalidRequest, Code: codeDuplicateID,
			Message: "a request of this id is open, or may have run",
		}))
	}
	g.mu.Lock()
	c.hadRequest = true
	g.mu.Unlock()
	reservation.transferTo(request, int64(len(content)))
	defer request.releaseBodyBytes()
	return c.serveInflight(request)
}

// newInflightRequest parses a request and assigns its id and its deadlines.
func (c *clientConn) newInflightRequest(req *http1.Request, body []byte) (*inflightRequest, *api.Error) {
	g := c.gateway
	parsed, apiErr := g.Protocol.ParseRequest(req, body)
	if apiErr != nil {
		return nil, apiErr
	}
	id := g.lastRequestID.Add(1)
	if id > math.MaxUint32 {
		g.drain.started.Store(true)
		g.log.Error("request ids are exhausted (2^32 per process); restart the gateway")
		return nil, &api.Error{
			Status: http.StatusServiceUnavailable, Type: api.TypeServer,
			Message: "this front must be restarted; nothing was done",
		}
	}
	now := time.Now()
	request := &inflightRequest{
		id: routing.RequestID(id), clientID: parsed.ClientID, routing: parsed.Routing, bodies: parsed.Bodies,
		path: parsed.Path, idempotencyKey: parsed.IdempotencyKey, class: &g.classes[parsed.Routing.Class],
		conn: c, collector: parsed.Collector, chunked: req.ProtoMinor == 1,
		keepAlive:  !req.Close && req.ProtoMinor == 1 && !g.drain.deadlinePassed(),
		acceptedAt: now, done: make(chan struct{}),
	}
	timeout := parsed.FirstTokenTimeout
	if hook := g.hooks.FirstTokenTimeout; hook != nil {
		timeout = hook(timeout)
	}
	request.deadline = now.Add(api.SubtractMargin(timeout, g.AnswerMargin))
	if parsed.AnswerTimeout > 0 {
		request.answerDeadline = now.Add(api.SubtractMargin(parsed.AnswerTimeout, g.AnswerMargin))
	}
	return request, nil
}

// serveInflight passes a request to the event loop, waits for the answer and writes it if it is not a stream. It
// returns whether the connection stays open.
func (c *clientConn) serveInflight(request *inflightRequest) bool {
	g := c.gateway
	backstop := request.deadline.Add(g.AnswerMargin / 2)
	if c.setReadDeadline(backstop) != nil {
		g.clientIDs.release(request.clientID, false)
		return false
	}
	c.currentRequest.Store(request)
	defer c.currentRequest.Store(nil)
	g.loop.startRequest(request)
	disconnected := c.awaitAnswer(request, backstop)
	if disconnected {
		request.result, request.reason = resultClientGone, reasonClientClosed
	}
	request.recordAnswer(g)
	if disconnected {
		c.closeReason = closeReasonClient
		return false
	}
	if request.response.Status == 0 { // the answer was a stream
		return request.keepAlive && !c.pipelined && request.result != resultClientGone &&
			(request.result != resultBroken || g.BrokenStreams == SendErrorEvent)
	}
	keepAlive := request.keepAlive && !c.pipelined && !g.drain.deadlinePassed()
	request.response.requestID = request.displayID()
	return c.writeResponse(request.response, keepAlive) == nil && keepAlive
}
