package gateway

import (
	"brackenbend/internal/api"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/sse"
	"brackenbend/routing"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// The states of a flight's answer. Whoever moves it from open owns the answer; so there is one.
const (
	answerPending      int32 = iota
	answerStreaming       // an attempt has the client's stream
	answerDone        // the final answer is set, or the stream has ended
	answerAbandoned            // the client left
)

// inflightRequest is one request from the moment it is taken until its last attempt has ended.
type inflightRequest struct {
	id     routing.RequestID
	clientID   string          // by its client; "" = none
	traits    routing.Request // as the module is told, but for ID and Due
	bodies RequestBodies
	path   string // towards engines
	idempotencyKey    string // Idempotency-Key
	class  *routing.Class
	conn     *clientConn
	collector  *api.Collector // collects the answer for a client that does not stream
	chunked bool           // the client takes chunked answers
	keepAlive   bool           // the connection stays after the answer
	acceptedAt  time.Time
	deadline    time.Time // first token, or final answer, by the module's reckoning
	answerDeadline   time.Time // the client's time for a whole answer; zero = not told

	state  atomic.Int32
	done   chan struct{} // closed once the answer is set or the stream has ended
	response Response      // set before done is closed, by the owner of the answer
	result string        // for the log, as answer
	reason string        // why it was not served, for the log, as answer
	eventCount atomic.Int64  // of the stream
	firstToken  atomic.Int64  // nanoseconds from taken to the first token

	mu       sync.Mutex
	attempts []*attempt   // written by the loop alone, under mu; others read them under mu
	bodyBytes    atomic.Int64 // of its body, as booked with the front

	// owned by the loop
	pendingAttempts     int
	kvParams      json.RawMessage
	heldState    readState // what a reader holds for it, as far as is known
	delayedResponse   *Response // set once out is 0: see refuse
	releaseWanted bool      // the module wants what it may hold released
	lastRelease *release  // the last one that was given for it
	// releaseDone is closed once what an attempt may have left was released; the next one waits for it. nil: nothing is.
	releaseDone <-chan struct{}
}

// Response is what a client gets that is not a stream.
type Response struct {
	Status  int
	Body    []byte
	wait    time.Duration // with a refusal
	noRetry bool
	id      string // X-Request-Id; "" where no flight was made
	reason  string // why it is not served, for the log and metrics; "" where it is
}

func rejectionResponse(a routing.Reject) Response {
	e := &api.Error{Status: 429, Type: "rate_limit_error", Code: "busy", Message: "not now; trying again after the told wait is harmless"}
	return Response{Status: 429, Body: e.JSON(), wait: a.RetryAfter, noRetry: a.NoAutoRetry, reason: a.Reason.String()}
}

// possibleDuplicateResponse answers a repeat that was not begun.
func possibleDuplicateResponse() Response {
	e := &api.Error{Status: 502, Type: "server_error", Code: "earlier_try_may_have_run", Message: "the client repeated this request by itself " +
		"(X-Stainless-Retry-Count), and an earlier try may have run; this one did not. Find out whether it ran before asking anew"}
	return Response{Status: e.Status, Body: e.JSON(), noRetry: true, reason: routing.ReasonPossibleDuplicate.String()}
}

// failureResponse promises nothing about effects: where one may have happened, SDKs are told not to retry by themselves.
func failureResponse(fl *inflightRequest, reason string) Response {
	e := &api.Error{Status: 502, Type: "server_error", Code: "failed", Message: "the request failed; it may have run"}
	if fl.class.Idempotency == routing.Idempotent {
		e.Message = "the request failed; it is safe to try again"
	}
	if !time.Now().Before(fl.deadline) {
		e.Status, e.Code = 504, "timeout"
	}
	return Response{Status: e.Status, Body: e.JSON(), noRetry: fl.class.Idempotency != routing.Idempotent, reason: reason}
}

// Reasons that the front itself finds; those of the module are routing.Reason's.
const (
	reasonStreamBroke    = "stream broke"
	reasonClientClosed      = "client closed its connection"
	reasonPipelined = "client sent more before its answer"
	reasonAnswerTimeout = "answer not whole in time"
	reasonNoDecision  = "no decision in time"
)

// displayID is what the request goes by in answers and logs.
func (fl *inflightRequest) displayID() string {
	if fl.clientID != "" {
		return fl.clientID
	}
	return fl.conn.gateway.attemptID(fl.id, 0)
}

// releaseBodyBytes gives the body's bytes back to the front's bound.
func (fl *inflightRequest) releaseBodyBytes() { fl.conn.gateway.bodyBytes.Add(-fl.bodyBytes.Swap(0)) }

func (fl *inflightRequest) answered() bool { return fl.state.Load() >= answerDone }

// abandoned tells, as an attempt is about to be written, that none may begin any more: there is an answer, or the client has left.
func (fl *inflightRequest) abandoned() bool { return fl.answered() || fl.conn.peerClosed() }

func (fl *inflightRequest) addAttempt(a *attempt) {
	fl.mu.Lock()
	fl.attempts = append(fl.attempts, a)
	fl.mu.Unlock()
}

// respond sets the final answer if there is none yet.
func (fl *inflightRequest) respond(a Response) bool { return fl.respondFrom(answerPending, a) }

// reject refuses fl. What is unsafe and has an attempt out, which the module calls off, is refused when that has ended: its engine
// knows first that nobody waits for it (engine.Client.Part). Called by the loop.
func (fl *inflightRequest) reject(a Response) {
	if fl.pendingAttempts > 0 && fl.class.Idempotency == routing.NotIdempotent && fl.conn.gateway.Routing.CanCancel {
		fl.delayedResponse = &a
		return
	}
	fl.respond(a)
}

func (fl *inflightRequest) respondFrom(from int32, a Response) bool {
	if !fl.state.CompareAndSwap(from, answerDone) {
		return false
	}
	fl.response, fl.reason = a, a.reason
	switch {
	case a.Status == 429:
		fl.result = "refused"
	case a.Status >= 500:
		fl.result = "failed"
	default:
		fl.result = "served"
	}
	fl.conn.interruptRead()
	close(fl.done)
	return true
}

// attempt is one send.
type attempt struct {
	request       *inflightRequest
	index        int
	endpoint      *engine.Endpoint
	decode    bool
	id       string
	kvParams       json.RawMessage
	deadline    time.Time
	sendBy   time.Time // zero = no bound but limit
	connectTimeout  time.Duration
	newConn    bool // on a new connection: an earlier attempt was lost on a kept one
	handle   engine.Attempt
	startedAt    time.Time
	pending  bool // its outcome has not come; by the loop
	ended    chan struct{}
	startAfter  <-chan struct{} // it begins once this is closed; nil = at once
	neverRan   bool            // set before ended is closed: the engine never ran it
	mayHoldState  bool            // so is this: it may have left a state that nobody was told of
	decodeAborted  bool            // so is this: it is a write that this side ended, which its engine may not have seen yet
	releaseStarted bool            // by the loop
	ownsAnswer     bool            // the client's answer; set by Begin
	post     func(message)
	frame      []byte // the frame being written, in frameBuf
	frameBuffer *[]byte
	writeErr   error // the client can't be written to

	resultMu sync.Mutex
	result   string
	elapsed     time.Duration
}

func (a *attempt) run(l *eventLoop) {
	a.startedAt, a.post = time.Now(), l.post
	out := a.perform(l)
	if a.request.class.Idempotency == routing.NotIdempotent {
		l.engines.AwaitSettled(&out)
	}
	a.conclude(l, &out)
}

// perform is all that an attempt does while it lasts; its frame stays small, since it lasts as long as the stream.
//
//go:noinline
func (a *attempt) perform(l *eventLoop) engine.Outcome {
	if a.startAfter != nil {
		<-a.startAfter
	}
	call := engine.Call{Path: a.request.path, ID: a.id, IdempotencyKey: a.request.idempotencyKey, Deadline: a.deadline, SendBy: a.sendBy, ConnectTimeout: a.connectTimeout, NewConn: a.newConn, Abandoned: a.request.abandoned}
	if bend := l.gateway.hooks.Key; bend != nil {
		call.IdempotencyKey = bend(call.IdempotencyKey)
	}
	if a.decode {
		call.Body = a.request.bodies.DecodeBody(a.kvParams, a.request.collector != nil)
		call.SingleUseConn = a.request.class.Idempotency == routing.NotIdempotent
		return l.engines.Decode(&a.handle, a.endpoint, call, a)
	}
	call.Body = a.request.bodies.PrefillBody()
	return l.engines.Prefill(&a.handle, a.endpoint, call)
}

// conclude tells everyone how the attempt ended.
//
//go:noinline
func (a *attempt) conclude(l *eventLoop, out *engine.Outcome) {
	if bend := l.gateway.hooks.Outcome; bend != nil {
		bend(a.decode, out)
	}
	took := time.Since(a.startedAt)
	a.resultMu.Lock()
	a.result, a.elapsed = resultNames[out.Result], took
	a.resultMu.Unlock()
	if out.Result != routing.Served && out.Result != routing.PrefillDone {
		a.logAttempt(l, out, took)
	}
	over := a.finishAnswer(out)
	a.neverRan = out.Result.NeverExecuted()
	a.mayHoldState = !a.decode && !a.neverRan && out.Result != routing.PrefillDone
	a.decodeAborted = a.decode && (out.Result == routing.TimedOut || out.Result == routing.Cancelled)
	close(a.ended)
	if !a.decode && out.Result != routing.PrefillDone && !l.engines.StateByRequestID { // a state that it may have left is known to nobody
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			a.releaseState(l, readState{})
		}()
	}
	l.post(message{kv: out.KVTransferParams, event: routing.Outcome{
		Request: a.request.id, Attempt: a.index, Endpoint: a.endpoint.ID, Elapsed: took, RequestDone: over,
		Result: out.Result, StateMissing: out.StateMissing, CachedTokens: out.CachedTokens, LoadReport: out.LoadReport,
	}})
}

// releaseState tells the reader to release the state of this attempt, which has ended.
func (a *attempt) releaseState(l *eventLoop, held readState) {
	if !a.neverRan && l.releasesState {
		r := &release{id: a.id, servers: []*engine.Endpoint{a.endpoint}, held: held}
		if l.callRelease(r) != nil {
			l.observeStateEnd(held, stateReleaseFailed)
		}
	}
}

// finishAnswer ends the client's answer where this attempt owns it, and tells whether the request is over by it.
func (a *attempt) finishAnswer(out *engine.Outcome) (over bool) {
	fl := a.request
	if out.Reply != nil { // the engine blames the request; its word is the answer
		return fl.respond(Response{Status: out.Reply.Status, Body: out.Reply.Body})
	}
	if !a.ownsAnswer {
		return false
	}
	fl.eventCount.Store(int64(out.Events))
	if fl.collector != nil {
		body, err := fl.collector.JSON()
		if out.Result != routing.Served || err != nil {
			fl.respondFrom(answerStreaming, failureResponse(fl, reasonStreamBroke))
			return true
		}
		fl.respondFrom(answerStreaming, Response{Status: 200, Body: body})
		return true
	}
	a.endStream(out)
	return true
}

// endStream writes the end of a stream, a break told inside it, and gives the connection back. The request is over before the
// last chunk goes out: a client that has it may send its next request at once.
func (a *attempt) endStream(out *engine.Outcome) {
	fl := a.request
	fl.state.CompareAndSwap(answerStreaming, answerDone)
	fl.result = "served"
	a.getFrameBuffer()
	b := a.frame // with the head, where no event followed it
	if out.Result != routing.Served {
		fl.result, fl.reason = "broken", reasonStreamBroke
	}
	if out.Result != routing.Served && !fl.conn.gateway.CutBrokenStreams {
		e := &api.Error{Type: "server_error", Code: "stream_broken", Message: "the stream broke; it may have run on"}
		ev := append(append([]byte("data: "), e.JSON()...), "\n\n"...)
		b = a.appendFrame(b, ev)
	}
	if a.writeErr == nil && (fl.result == "served" || !fl.conn.gateway.CutBrokenStreams) {
		if fl.chunked {
			b = append(b, http1.LastChunk...)
		}
		if len(b) > 0 {
			a.writeErr = fl.conn.write(b)
		}
	}
	if a.writeErr != nil && fl.result == "served" {
		fl.result = "gone"
	}
	a.frame = b
	a.putFrameBuffer()
	fl.conn.interruptRead()
	close(fl.done)
}

// frameBuffers are the buffers in which answers are framed; a stream holds one only while it writes.
var frameBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 8192+64); return &b }}

const maxPooledFrame = 64 << 10 // larger ones are not kept

func (a *attempt) getFrameBuffer() {
	if a.frameBuffer == nil {
		a.frameBuffer = frameBuffers.Get().(*[]byte)
		a.frame = (*a.frameBuffer)[:0]
	}
}

func (a *attempt) putFrameBuffer() {
	if a.frameBuffer != nil {
		if *a.frameBuffer = a.frame[:0]; cap(a.frame) <= maxPooledFrame {
			frameBuffers.Put(a.frameBuffer)
		}
		a.frameBuffer, a.frame = nil, nil
	}
}

// Begin implements engine.Sink: the first token is here.
func (a *attempt) Begin() bool {
	fl := a.request
	if !fl.state.CompareAndSwap(answerPending, answerStreaming) {
		return false
	}
	a.ownsAnswer = true
	fl.bodies = nil // no further attempt needs it, and a stream may last
	fl.releaseBodyBytes()
	since := time.Since(fl.acceptedAt)
	fl.firstToken.Store(int64(since))
	fl.conn.extendRead(fl.answerDeadline)
	a.post(message{event: routing.FirstToken{Request: fl.id, Attempt: a.index, Endpoint: a.endpoint.ID, Elapsed: time.Since(a.startedAt)}})
	if fl.collector == nil {
		a.getFrameBuffer()
		b := http1.AppendStatusLine(a.frame, 200)
		b = http1.AppendField(b, "Content-Type", "text/event-stream; charset=utf-8")
		b = http1.AppendField(b, "Cache-Control", "no-cache")
		b = http1.AppendField(b, engine.HeaderRequestID, fl.displayID())
		if fl.chunked {
			b = http1.AppendField(b, "Transfer-Encoding", "chunked")
		}
		if !fl.keepAlive {
			b = http1.AppendField(b, "Connection", "close")
		}
		a.frame = append(b, "\r\n"...)
	}
	return true
}

// Events implements engine.Sink. The head waits in a.out for the first events, to go out with them.
func (a *attempt) Events(p []byte, last bool) error {
	if a.request.collector != nil {
		return a.collect(p)
	}
	a.getFrameBuffer()
	a.frame = a.appendFrame(a.frame, p)
	if last { // endStream writes it with the end of the body
		return nil
	}
	a.writeErr = a.request.conn.write(a.frame)
	a.putFrameBuffer()
	return a.writeErr
}

func (a *attempt) appendFrame(b, p []byte) []byte {
	if a.request.chunked {
		return http1.AppendChunk(b, p)
	}
	return append(b, p...)
}

func (a *attempt) collect(p []byte) error {
	for len(p) > 0 {
		n := sse.Split(p)
		if n == 0 {
			return errors.New("front: half an event")
		}
		if data := sse.Data(p[:n]); data != nil && string(data) != sse.Done {
			if err := a.request.collector.Add(data); err != nil {
				return err
			}
		}
		p = p[n:]
	}
	return nil
}

// stage is the one that a request without a first token had not passed.
func (fl *inflightRequest) stage() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, a := range fl.attempts {
		a.resultMu.Lock()
		read := a.result == resultNames[routing.PrefillDone]
		a.resultMu.Unlock()
		if read {
			return "write"
		}
	}
	return "read"
}

// logAnswer is the one log line of a request's final answer.
func (fl *inflightRequest) logAnswer(f *Gateway) {
	f.metrics.Answers.WithLabelValues(fl.class.Name, fl.result).Inc()
	if fl.reason != "" {
		f.metrics.NotServed.WithLabelValues(fl.result, fl.reason).Inc()
	}
	if d := fl.firstToken.Load(); d > 0 {
		f.metrics.FirstToken.WithLabelValues(fl.class.Name).Observe(time.Duration(d).Seconds())
	}
	if fl.firstToken.Load() == 0 && (fl.result == "refused" || fl.result == "failed") {
		f.metrics.LostRequests.WithLabelValues(fl.stage()).Inc()
	}
	ce := f.log.Check(zap.InfoLevel, "answer "+fl.result)
	if ce == nil {
		return
	}
	fl.mu.Lock()
	trail := make([]string, 0, len(fl.attempts))
	for _, a := range fl.attempts {
		a.resultMu.Lock()
		result := a.result
		if result == "" {
			result = "out"
		}
		trail = append(trail, a.endpoint.Name+" "+result+" "+strconv.FormatInt(a.elapsed.Milliseconds(), 10)+"ms")
		a.resultMu.Unlock()
	}
	fl.mu.Unlock()
	ce.Write(zap.String("id", fl.displayID()), zap.String("class", fl.class.Name), zap.Int("status", fl.response.Status), zap.String("reason", fl.reason),
		zap.Int("prompt_tokens", int(math.Round(fl.traits.PromptTokens))), zap.Duration("first_token", time.Duration(fl.firstToken.Load())),
		zap.Duration("took", time.Since(fl.acceptedAt)), zap.Strings("attempts", trail),
		zap.String("tenant", f.tenantName(fl.traits.Tenant)), zap.String("session", strconv.FormatUint(fl.traits.Session, 16)),
		zap.String("prefix", prefixName(fl.traits.Prefix)), zap.Int("prefix_tokens", int(math.Round(fl.traits.PrefixTokens))),
		zap.Int("max_out", int(fl.traits.MaxOutputTokens)), zap.Int64("events", fl.eventCount.Load()), zap.Bool("stream", fl.collector == nil))
}

// prefixName is how a shared beginning goes by in the log; "" = none.
func prefixName(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	return strconv.FormatUint(prefix, 16)
}
