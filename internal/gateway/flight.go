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
	open      int32 = iota
	streaming       // an attempt has the client's stream
	answered        // the final answer is set, or the stream has ended
	gone            // the client left
)

// flight is one request from the moment it is taken until its last attempt has ended.
type flight struct {
	id     routing.RequestID
	name   string          // by its client; "" = none
	ask    routing.Request // as the module is told, but for ID and Due
	prompt RequestBodies
	path   string // towards engines
	key    string // Idempotency-Key
	class  *routing.Class
	to     *client
	whole  *api.Collector // collects the answer for a client that does not stream
	chunks bool           // the client takes chunked answers
	keep   bool           // the connection stays after the answer
	taken  time.Time
	due    time.Time // first token, or final answer, by the module's reckoning
	last   time.Time // the client's time for a whole answer; zero = not told

	state  atomic.Int32
	done   chan struct{} // closed once the answer is set or the stream has ended
	answer Response      // set before done is closed, by the owner of the answer
	result string        // for the log, as answer
	reason string        // why it was not served, for the log, as answer
	events atomic.Int64  // of the stream
	first  atomic.Int64  // nanoseconds from taken to the first token

	mu       sync.Mutex
	attempts []*attempt   // written by the loop alone, under mu; others read them under mu
	bytes    atomic.Int64 // of its body, as booked with the front

	// owned by the loop
	out     int
	kv      json.RawMessage
	held    readState // what a reader holds for it, as far as is known
	after   *Response // set once out is 0: see refuse
	mayHold bool      // the module wants what it may hold released
	release *release  // the last one that was given for it
	// releasing is closed once what an attempt may have left was released; the next one waits for it. nil: nothing is.
	releasing <-chan struct{}
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

func refusal(a routing.Reject) Response {
	e := &api.Error{Status: 429, Type: "rate_limit_error", Code: "busy", Message: "not now; trying again after the told wait is harmless"}
	return Response{Status: 429, Body: e.JSON(), wait: a.RetryAfter, noRetry: a.NoAutoRetry, reason: a.Reason.String()}
}

// repeated answers a repeat that was not begun.
func repeated() Response {
	e := &api.Error{Status: 502, Type: "server_error", Code: "earlier_try_may_have_run", Message: "the client repeated this request by itself " +
		"(X-Stainless-Retry-Count), and an earlier try may have run; this one did not. Find out whether it ran before asking anew"}
	return Response{Status: e.Status, Body: e.JSON(), noRetry: true, reason: routing.ReasonPossibleDuplicate.String()}
}

// failure promises nothing about effects: where one may have happened, SDKs are told not to retry by themselves.
func failure(fl *flight, reason string) Response {
	e := &api.Error{Status: 502, Type: "server_error", Code: "failed", Message: "the request failed; it may have run"}
	if fl.class.Idempotency == routing.Idempotent {
		e.Message = "the request failed; it is safe to try again"
	}
	if !time.Now().Before(fl.due) {
		e.Status, e.Code = 504, "timeout"
	}
	return Response{Status: e.Status, Body: e.JSON(), noRetry: fl.class.Idempotency != routing.Idempotent, reason: reason}
}

// Reasons that the front itself finds; those of the module are routing.Reason's.
const (
	reasonBroken    = "stream broke"
	reasonLeft      = "client closed its connection"
	reasonPipelined = "client sent more before its answer"
	reasonLateWhole = "answer not whole in time"
	reasonBackstop  = "no decision in time"
)

// title is what the request goes by in answers and logs.
func (fl *flight) title() string {
	if fl.name != "" {
		return fl.name
	}
	return fl.to.f.wideID(fl.id, 0)
}

// freeBody gives the body's bytes back to the front's bound.
func (fl *flight) freeBody() { fl.to.f.bodies.Add(-fl.bytes.Swap(0)) }

func (fl *flight) over() bool { return fl.state.Load() >= answered }

// abandoned tells, as an attempt is about to be written, that none may begin any more: there is an answer, or the client has left.
func (fl *flight) abandoned() bool { return fl.over() || fl.to.hungUp() }

func (fl *flight) note(a *attempt) {
	fl.mu.Lock()
	fl.attempts = append(fl.attempts, a)
	fl.mu.Unlock()
}

// finish sets the final answer if there is none yet.
func (fl *flight) finish(a Response) bool { return fl.settle(open, a) }

// refuse refuses fl. What is unsafe and has an attempt out, which the module calls off, is refused when that has ended: its engine
// knows first that nobody waits for it (engine.Client.Part). Called by the loop.
func (fl *flight) refuse(a Response) {
	if fl.out > 0 && fl.class.Idempotency == routing.NotIdempotent && fl.to.f.Routing.CanCancel {
		fl.after = &a
		return
	}
	fl.finish(a)
}

func (fl *flight) settle(from int32, a Response) bool {
	if !fl.state.CompareAndSwap(from, answered) {
		return false
	}
	fl.answer, fl.reason = a, a.reason
	switch {
	case a.Status == 429:
		fl.result = "refused"
	case a.Status >= 500:
		fl.result = "failed"
	default:
		fl.result = "served"
	}
	fl.to.kick()
	close(fl.done)
	return true
}

// attempt is one send.
type attempt struct {
	fl       *flight
	n        int
	srv      *engine.Endpoint
	write    bool
	id       string
	kv       json.RawMessage
	limit    time.Time
	sendBy   time.Time // zero = no bound but limit
	connect  time.Duration
	fresh    bool // on a new connection: an earlier attempt was lost on a kept one
	handle   engine.Attempt
	began    time.Time
	pending  bool // its outcome has not come; by the loop
	ended    chan struct{}
	waitFor  <-chan struct{} // it begins once this is closed; nil = at once
	unsent   bool            // set before ended is closed: the engine never ran it
	unclear  bool            // so is this: it may have left a state that nobody was told of
	givenUp  bool            // so is this: it is a write that this side ended, which its engine may not have seen yet
	released bool            // by the loop
	owns     bool            // the client's answer; set by Begin
	post     func(item)
	out      []byte // the frame being written, in frameBuf
	frameBuf *[]byte
	broken   error // the client can't be written to

	resultMu sync.Mutex
	result   string
	took     time.Duration
}

func (a *attempt) run(l *loop) {
	a.began, a.post = time.Now(), l.post
	out := a.perform(l)
	if a.fl.class.Idempotency == routing.NotIdempotent {
		l.client.AwaitSettled(&out)
	}
	a.conclude(l, &out)
}

// perform is all that an attempt does while it lasts; its frame stays small, since it lasts as long as the stream.
//
//go:noinline
func (a *attempt) perform(l *loop) engine.Outcome {
	if a.waitFor != nil {
		<-a.waitFor
	}
	call := engine.Call{Path: a.fl.path, ID: a.id, IdempotencyKey: a.fl.key, Deadline: a.limit, SendBy: a.sendBy, ConnectTimeout: a.connect, NewConn: a.fresh, Abandoned: a.fl.abandoned}
	if bend := l.f.seam.Key; bend != nil {
		call.IdempotencyKey = bend(call.IdempotencyKey)
	}
	if a.write {
		call.Body = a.fl.prompt.DecodeBody(a.kv, a.fl.whole != nil)
		call.SingleUseConn = a.fl.class.Idempotency == routing.NotIdempotent
		return l.client.Decode(&a.handle, a.srv, call, a)
	}
	call.Body = a.fl.prompt.PrefillBody()
	return l.client.Prefill(&a.handle, a.srv, call)
}

// conclude tells everyone how the attempt ended.
//
//go:noinline
func (a *attempt) conclude(l *loop, out *engine.Outcome) {
	if bend := l.f.seam.Outcome; bend != nil {
		bend(a.write, out)
	}
	took := time.Since(a.began)
	a.resultMu.Lock()
	a.result, a.took = resultNames[out.Result], took
	a.resultMu.Unlock()
	if out.Result != routing.Served && out.Result != routing.PrefillDone {
		a.logAttempt(l, out, took)
	}
	over := a.finish(out)
	a.unsent = out.Result.NeverExecuted()
	a.unclear = !a.write && !a.unsent && out.Result != routing.PrefillDone
	a.givenUp = a.write && (out.Result == routing.TimedOut || out.Result == routing.Cancelled)
	close(a.ended)
	if !a.write && out.Result != routing.PrefillDone && !l.client.StateByRequestID { // a state that it may have left is known to nobody
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			a.release(l, readState{})
		}()
	}
	l.post(item{kv: out.KVTransferParams, ev: routing.Outcome{
		Request: a.fl.id, Attempt: a.n, Endpoint: a.srv.ID, Elapsed: took, RequestDone: over,
		Result: out.Result, StateMissing: out.StateMissing, CachedTokens: out.CachedTokens, LoadReport: out.LoadReport,
	}})
}

// release tells the reader to release the state of this attempt, which has ended.
func (a *attempt) release(l *loop, held readState) {
	if !a.unsent && l.releases {
		r := &release{id: a.id, servers: []*engine.Endpoint{a.srv}, held: held}
		if l.releaseAtOne(r) != nil {
			l.stateEnded(held, stateReleaseFailed)
		}
	}
}

// finish ends the client's answer where this attempt owns it, and tells whether the request is over by it.
func (a *attempt) finish(out *engine.Outcome) (over bool) {
	fl := a.fl
	if out.Reply != nil { // the engine blames the request; its word is the answer
		return fl.finish(Response{Status: out.Reply.Status, Body: out.Reply.Body})
	}
	if !a.owns {
		return false
	}
	fl.events.Store(int64(out.Events))
	if fl.whole != nil {
		body, err := fl.whole.JSON()
		if out.Result != routing.Served || err != nil {
			fl.settle(streaming, failure(fl, reasonBroken))
			return true
		}
		fl.settle(streaming, Response{Status: 200, Body: body})
		return true
	}
	a.endStream(out)
	return true
}

// endStream writes the end of a stream, a break told inside it, and gives the connection back. The request is over before the
// last chunk goes out: a client that has it may send its next request at once.
func (a *attempt) endStream(out *engine.Outcome) {
	fl := a.fl
	fl.state.CompareAndSwap(streaming, answered)
	fl.result = "served"
	a.takeFrame()
	b := a.out // with the head, where no event followed it
	if out.Result != routing.Served {
		fl.result, fl.reason = "broken", reasonBroken
	}
	if out.Result != routing.Served && !fl.to.f.CutBrokenStreams {
		e := &api.Error{Type: "server_error", Code: "stream_broken", Message: "the stream broke; it may have run on"}
		ev := append(append([]byte("data: "), e.JSON()...), "\n\n"...)
		b = a.frame(b, ev)
	}
	if a.broken == nil && (fl.result == "served" || !fl.to.f.CutBrokenStreams) {
		if fl.chunks {
			b = append(b, http1.LastChunk...)
		}
		if len(b) > 0 {
			a.broken = fl.to.write(b)
		}
	}
	if a.broken != nil && fl.result == "served" {
		fl.result = "gone"
	}
	a.out = b
	a.dropFrame()
	fl.to.kick()
	close(fl.done)
}

// frames are the buffers in which answers are framed; a stream holds one only while it writes.
var frames = sync.Pool{New: func() any { b := make([]byte, 0, 8192+64); return &b }}

const frameMost = 64 << 10 // larger ones are not kept

func (a *attempt) takeFrame() {
	if a.frameBuf == nil {
		a.frameBuf = frames.Get().(*[]byte)
		a.out = (*a.frameBuf)[:0]
	}
}

func (a *attempt) dropFrame() {
	if a.frameBuf != nil {
		if *a.frameBuf = a.out[:0]; cap(a.out) <= frameMost {
			frames.Put(a.frameBuf)
		}
		a.frameBuf, a.out = nil, nil
	}
}

// Begin implements engine.Sink: the first token is here.
func (a *attempt) Begin() bool {
	fl := a.fl
	if !fl.state.CompareAndSwap(open, streaming) {
		return false
	}
	a.owns = true
	fl.prompt = nil // no further attempt needs it, and a stream may last
	fl.freeBody()
	since := time.Since(fl.taken)
	fl.first.Store(int64(since))
	fl.to.streams(fl.last)
	a.post(item{ev: routing.FirstToken{Request: fl.id, Attempt: a.n, Endpoint: a.srv.ID, Elapsed: time.Since(a.began)}})
	if fl.whole == nil {
		a.takeFrame()
		b := http1.AppendStatusLine(a.out, 200)
		b = http1.AppendField(b, "Content-Type", "text/event-stream; charset=utf-8")
		b = http1.AppendField(b, "Cache-Control", "no-cache")
		b = http1.AppendField(b, engine.HeaderRequestID, fl.title())
		if fl.chunks {
			b = http1.AppendField(b, "Transfer-Encoding", "chunked")
		}
		if !fl.keep {
			b = http1.AppendField(b, "Connection", "close")
		}
		a.out = append(b, "\r\n"...)
	}
	return true
}

// Events implements engine.Sink. The head waits in a.out for the first events, to go out with them.
func (a *attempt) Events(p []byte, last bool) error {
	if a.fl.whole != nil {
		return a.collect(p)
	}
	a.takeFrame()
	a.out = a.frame(a.out, p)
	if last { // endStream writes it with the end of the body
		return nil
	}
	a.broken = a.fl.to.write(a.out)
	a.dropFrame()
	return a.broken
}

func (a *attempt) frame(b, p []byte) []byte {
	if a.fl.chunks {
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
			if err := a.fl.whole.Add(data); err != nil {
				return err
			}
		}
		p = p[n:]
	}
	return nil
}

// stage is the one that a request without a first token had not passed.
func (fl *flight) stage() string {
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

// report is the one log line of a request's final answer.
func (fl *flight) report(f *Gateway) {
	f.m.Answers.WithLabelValues(fl.class.Name, fl.result).Inc()
	if fl.reason != "" {
		f.m.NotServed.WithLabelValues(fl.result, fl.reason).Inc()
	}
	if d := fl.first.Load(); d > 0 {
		f.m.FirstToken.WithLabelValues(fl.class.Name).Observe(time.Duration(d).Seconds())
	}
	if fl.first.Load() == 0 && (fl.result == "refused" || fl.result == "failed") {
		f.m.LostRequests.WithLabelValues(fl.stage()).Inc()
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
		trail = append(trail, a.srv.Name+" "+result+" "+strconv.FormatInt(a.took.Milliseconds(), 10)+"ms")
		a.resultMu.Unlock()
	}
	fl.mu.Unlock()
	ce.Write(zap.String("id", fl.title()), zap.String("class", fl.class.Name), zap.Int("status", fl.answer.Status), zap.String("reason", fl.reason),
		zap.Int("prompt_tokens", int(math.Round(fl.ask.PromptTokens))), zap.Duration("first_token", time.Duration(fl.first.Load())),
		zap.Duration("took", time.Since(fl.taken)), zap.Strings("attempts", trail),
		zap.String("tenant", f.tenant(fl.ask.Tenant)), zap.String("session", strconv.FormatUint(fl.ask.Session, 16)),
		zap.String("prefix", prefixName(fl.ask.Prefix)), zap.Int("prefix_tokens", int(math.Round(fl.ask.PrefixTokens))),
		zap.Int("max_out", int(fl.ask.MaxOutputTokens)), zap.Int64("events", fl.events.Load()), zap.Bool("stream", fl.whole == nil))
}

// prefixName is how a shared beginning goes by in the log; "" = none.
func prefixName(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	return strconv.FormatUint(prefix, 16)
}
