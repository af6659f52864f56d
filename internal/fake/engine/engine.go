// Package engine is a stand-in for an engine on a socket: it speaks vLLM's convention for disaggregated prefill
// and the extension of docs/front.md, runs the model of internal/standin/model in real time, and breaks on
// demand. It uses net/http, so that the front's own parsers meet an independent peer.
package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// Config describes a stand-in.
type Config struct {
	Name, Kind, Zone, Cell string
	Params                 enginemodel.Params
	PlainVLLM              bool // speaks vLLM's convention only, not the extension
	CanCancel              bool // work stops when its connection ends
	Group                  *Group
	Record                 *audit.Record // may be nil
	Changed                func(*Server) // its process started or ended; may be nil

	Roles        map[roles.Role]enginemodel.Params // that it can take; empty = it keeps its Params
	InitialState roles.EngineState                 // as its disk has it at its first start
	SwitchTime   time.Duration                     // from empty to serving in another role
}

// Group is the set of engines that drops repeats of keyed requests.
type Group struct {
	Window time.Duration
	mu     sync.Mutex
	seen   map[string]time.Time
}

// first tells whether key was not seen within the window, and remembers it.
func (g *Group) first(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.seen == nil {
		g.seen = map[string]time.Time{}
	}
	for k, at := range g.seen {
		if now.Sub(at) > g.Window {
			delete(g.seen, k)
		}
	}
	if _, ok := g.seen[key]; ok {
		return false
	}
	g.seen[key] = now
	return true
}

// Faults are what is wrong with a stand-in now; the zero value is nothing.
type Faults struct {
	FailFast  float64 `json:"fail_fast"`  // part of requests that fail at once
	FailClass string  `json:"fail_class"` // of this class only
	Stall     bool    `json:"stall"`      // takes requests and says nothing more
	Slow      float64 `json:"slow"`       // times slower
	ResetMid  float64 `json:"reset_mid"`  // part of streams that are reset after a few tokens
	ResetHead float64 `json:"reset_head"` // part of requests whose connection is reset once they are read
	ResetRun  float64 `json:"reset_run"`  // part of requests that take effect and are reset before a token is out
	FailRun   float64 `json:"fail_run"`   // part of requests that take effect and are answered with an error
	StallRun  float64 `json:"stall_run"`  // part of requests that take effect and of which nothing is heard
	Frozen    bool    `json:"frozen"`     // load reports stay as they are
	NoReports bool    `json:"no_reports"`
}

// Server is a running stand-in.
type Server struct {
	cfg  Config
	addr string

	mu      sync.Mutex
	m       *enginemodel.Engine
	timer   *time.Timer
	start   time.Time
	faults  Faults
	uid     int
	up      bool
	started time.Time
	load    string
	held    map[string]bool      // states told to the record
	letGo   map[string]time.Time // reads whose state is not wanted any more, though they may still run or come

	seat      roles.EngineState // on its disk: outlives crashes
	switching bool
	liar      bool // says that it changed, and did not

	flood      bool
	beforeTake func()
	afterRead  func()
	arrivals   int

	http  *http.Server
	lis   net.Listener
	conns map[net.Conn]struct{}
	peers *http.Client
}

// Start listens on addr (port 0 = any) and serves. cold tells whether its engine begins cold.
func Start(cfg Config, addr string, cold bool) (*Server, error) {
	s := &Server{
		cfg: cfg, start: time.Now(), conns: map[net.Conn]struct{}{}, held: map[string]bool{}, letGo: map[string]time.Time{},
		peers: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if s.cfg.Group == nil {
		s.cfg.Group = &Group{Window: time.Minute}
	}
	s.seat = cfg.InitialState
	s.timer = time.AfterFunc(time.Hour, s.tick)
	if err := s.beginAt(addr, cold); err != nil {
		return nil, err
	}
	return s, nil
}

// beginAt begins at an address that may be held for a moment yet by a listener that was closed.
func (s *Server) beginAt(addr string, cold bool) (err error) {
	for range 50 {
		if err = s.begin(addr, cold); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// begin starts the process: a new uid, an empty engine, a listener.
func (s *Server) begin(addr string, cold bool) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr, s.lis, s.up = l.Addr().String(), l, true
	s.uid++
	s.seat, s.switching = s.seat.FinishDraining(), false // a crash emptied it
	s.m = enginemodel.New(s.params(), s.now(), cold)
	s.m.SetSlow(cmp.Or(s.faults.Slow, 1))
	s.started = time.Time{}
	if cold {
		s.started = time.Now()
	}
	s.http = &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second, ConnState: s.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	h := s.http
	s.mu.Unlock()
	s.record(audit.Event{Kind: audit.EngineStarted})
	go func() { _ = h.Serve(l) }()
	s.changed()
	return nil
}

type connKey struct{}

func (s *Server) connState(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *Server) record(e audit.Event) {
	if s.cfg.Record != nil {
		e.Engine = s.cfg.Name
		s.cfg.Record.Add(e)
	}
}

func (s *Server) changed() {
	if s.cfg.Changed != nil {
		s.cfg.Changed(s)
	}
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Info is what the register tells of an engine.
type Info struct {
	Name, Kind, Zone, Cell, Address, UID string
	Up                                   bool
	Started                              time.Time // zero = long ago
}

// Info describes the engine as it is.
func (s *Server) Info() Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Info{s.cfg.Name, s.cfg.Kind, s.cfg.Zone, s.cfg.Cell, s.addr, fmt.Sprintf("%s-%d", s.cfg.Name, s.uid), s.up, s.started}
}

// SetFaults replaces what is wrong with the engine.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.m.SetSlow(cmp.Or(f.Slow, 1))
}

// StreamWithoutEnd lets streams write without end, as fast as their connection takes it.
func (s *Server) StreamWithoutEnd(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flood = on
}

// BeforeTake is called when a state is asked for, before it is handed over.
func (s *Server) BeforeTake(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeTake = f
}

// AfterRead is called when a read has ended, before it is answered.
func (s *Server) AfterRead(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterRead = f
}

// Working is the number of requests that wait or run.
func (s *Server) Working() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Working()
}

// States is the number of read states held.
func (s *Server) States() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.States()
}

// Arrivals is the number of reads and writes that ever reached the engine.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// DropPrefixCache drops the texts that the engine kept.
func (s *Server) DropPrefixCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Forget()
}

// Crash ends the process at once: connections are reset, states and texts are lost.
func (s *Server) Crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.lis.Close()
	s.dropAll()
	s.mu.Unlock()
	s.record(audit.Event{Kind: audit.EngineStopped})
	s.changed()
}

// dropAll resets every connection and empties the engine. s.mu is held.
func (s *Server) dropAll() {
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	s.m.Reset()
	for id := range s.held {
		delete(s.held, id)
		s.record(audit.Event{Kind: audit.StateReleased, Request: id})
	}
}

// Restart starts the process again after a crash, cold, under the same address.
func (s *Server) Restart() error {
	s.mu.Lock()
	up, addr := s.up, s.addr
	s.mu.Unlock()
	if up {
		return errors.New("standin: it runs")
	}
	return s.beginAt(addr, true)
}

// SilentRestart loses everything as a crash does, but the register is not told and the port stays.
func (s *Server) SilentRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAll()
}

// RefuseConnects closes the listener for d; what is connected stays.
func (s *Server) RefuseConnects(d time.Duration) {
	s.mu.Lock()
	l, h, addr := s.lis, s.http, s.addr
	s.mu.Unlock()
	l.Close()
	time.AfterFunc(d, func() {
		nl, err := net.Listen("tcp", addr)
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.http != h || !s.up {
			s.mu.Unlock()
			nl.Close()
			return
		}
		s.lis = nl
		s.mu.Unlock()
		_ = h.Serve(nl)
	})
}

// Close ends the stand-in.
func (s *Server) Close() {
	s.mu.Lock()
	s.up = false
	s.lis.Close()
	s.dropAll()
	s.timer.Stop()
	s.mu.Unlock()
}

// tick moves the model to the present. Callers that changed it call plan themselves.
func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.Advance(s.now())
	s.plan()
}

// plan sets the timer for what is due next. s.mu is held.
func (s *Server) plan() {
	if at, ok := s.m.Next(); ok {
		s.timer.Reset(max(at-s.now(), 0))
	}
	for id := range s.held { // expired ones
		if !s.m.Holds(id) {
			delete(s.held, id)
			s.record(audit.Event{Kind: audit.StateReleased, Request: id})
		}
	}
	s.emptied()
	if s.m.Down() && s.up {
		s.record(audit.Event{Kind: audit.Overloaded})
		go s.Crash()
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("POST /v1/brackenbend/release", s.release)
	mux.HandleFunc("POST /standin/take", s.take)
	mux.HandleFunc("GET "+planner.Path, s.role)
	mux.HandleFunc("POST "+planner.Path, s.role)
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

// request is the part of a body that the stand-in looks at.
type request struct {
	Model     string
	Stream    bool
	MaxTokens *int `json:"max_tokens"`
	MaxNew    *int `json:"max_completion_tokens"`
	N         *int
	Messages  []struct {
		Role    string
		Content text
	}
	Prompt  text
	Options struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	Metadata map[string]string // effect, try, class, answer (tokens): what the day's clients tell its engines
	KV       *struct {
		RemoteDecode  bool    `json:"do_remote_decode"`
		RemotePrefill bool    `json:"do_remote_prefill"`
		Host          string  `json:"remote_host"`
		Port          int     `json:"remote_port"`
		Request       string  `json:"remote_request_id"`
		Tokens        float64 `json:"remote_tokens"`
	} `json:"kv_transfer_params"`
}

// job makes the model's view of a request.
func (q *request) job(id string) *enginemodel.Job {
	bytes, lead, system := len(q.Prompt), 0, ""
	first := ""
	for i, m := range q.Messages {
		bytes += len(m.Role) + len(m.Content)
		if m.Role == "system" && i == 0 {
			system, lead = string(m.Content), len(m.Role)+len(m.Content)
		} else if first == "" {
			first = string(m.Content)
		}
	}
	j := &enginemodel.Job{ID: id, Prompt: max(float64(bytes)/4, 1), Prefix: system, PrefixLen: float64(lead) / 4, Session: system + "\x00" + first, Out: 64}
	if q.MaxTokens != nil {
		j.Out = *q.MaxTokens
	}
	if q.MaxNew != nil {
		j.Out = *q.MaxNew
	}
	if n, err := strconv.Atoi(q.Metadata["answer"]); err == nil && n > 0 {
		j.Out = min(j.Out, n)
	}
	if q.KV != nil && q.KV.RemoteDecode {
		j.ReadOnly = true
	} else if q.KV != nil && q.KV.RemotePrefill {
		j.FetchState = max(j.Prompt, 1)
	}
	return j
}

// turn answers that a request was turned away before it ran.
func (s *Server) turn(w http.ResponseWriter, noState bool) {
	if !s.cfg.PlainVLLM {
		w.Header().Set("X-Brackenbend-Never-Ran", "1")
		if noState {
			w.Header().Set("X-Brackenbend-No-State", "1")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	io.WriteString(w, `{"error":{"message":"turned away","type":"server_error","param":null,"code":null}}`)
}

func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	front, _ := strings.CutPrefix(r.UserAgent(), "brackenbend/")
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil {
		return
	}
	var q request
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, `{"error":{"message":"malformed body","type":"invalid_request_error"}}`, http.StatusBadRequest)
		return
	}
	j := q.job(id)
	if s.leaving() {
		s.turn(w, false)
		return
	}
	s.record(audit.Event{Kind: audit.Arrived, Replica: front, Request: id, Decode: !j.ReadOnly, Attempt: q.Metadata["try"]})
	defer s.record(audit.Event{Kind: audit.Ended, Request: id})
	s.mu.Lock()
	f, p := s.faults, s.params()
	s.arrivals++
	s.mu.Unlock()
	switch {
	case f.Stall:
		<-r.Context().Done()
		return
	case f.FailClass != "" && f.FailClass == q.Metadata["class"] || rand.Float64() < f.FailFast:
		http.Error(w, `{"error":{"message":"engine fault","type":"server_error"}}`, http.StatusInternalServerError)
		return
	case rand.Float64() < f.ResetHead:
		reset(w)
		return
	case j.ReadOnly && !p.CanPrefill || !j.ReadOnly && !p.CanDecode || j.FetchState == 0 && !j.ReadOnly && !p.CanPrefill:
		s.turn(w, j.FetchState == 0 && !j.ReadOnly && p.CanDecode)
		return
	}
	run := &run{s: s, j: j, q: &q, r: r, w: w, faults: f, wake: make(chan struct{}, 1), created: time.Now().Unix()}
	if j.ReadOnly {
		run.read()
	} else {
		run.write()
	}
}

// run is one request within the server.
type run struct {
	s      *Server
	j      *enginemodel.Job
	q      *request
	r      *http.Request
	w      http.ResponseWriter
	faults Faults
	wake   chan struct{}

	created int64

	// set under s.mu by the model's callbacks
	begun, done, lost bool
	tokens            int
	kept              float64
}

func (x *run) poke() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// submit hands the job to the model; false: turned away.
func (x *run) submit() bool {
	x.j.Begun = func() { x.begun = true; x.poke() }
	x.j.Token = func(n int) { x.tokens = n; x.poke() }
	x.j.Done = func(kept float64) {
		x.done, x.kept = true, kept
		if _, unwanted := x.s.letGo[x.j.ID]; x.j.ReadOnly {
			x.s.held[x.j.ID] = true
			x.s.record(audit.Event{Kind: audit.StateHeld, Request: x.j.ID})
			if unwanted { // plan, which follows, tells the record
				x.s.m.Drop(x.j.ID)
			}
		}
		x.poke()
	}
	x.j.Lost = func() { x.lost = true; x.poke() }
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	ok := x.s.up && !x.s.turned() && x.s.m.Submit(x.s.now(), x.j)
	x.s.plan()
	return ok
}

// cancel ends the job where the engine does so for a connection that ended.
func (x *run) cancel() {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	if x.s.cfg.CanCancel || !x.begun {
		x.s.m.Cancel(x.s.now(), x.j)
		x.s.plan()
	}
}

func (x *run) flooding() bool {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.flood
}

type snapshot struct {
	begun, done, lost bool
	tokens            int
}

func (x *run) look() snapshot {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return snapshot{x.begun, x.done, x.lost, x.tokens}
}

func (x *run) read() {
	if !x.submit() {
		x.s.turn(x.w, false)
		return
	}
	for {
		select {
		case <-x.r.Context().Done():
			x.cancel()
			return
		case <-x.wake:
		}
		switch v := x.look(); {
		case v.lost:
			reset(x.w)
			return
		case v.done:
			x.s.mu.Lock()
			hook := x.s.afterRead
			x.s.mu.Unlock()
			if hook != nil {
				hook()
			}
			x.readAnswer()
			return
		}
	}
}

func (x *run) readAnswer() {
	host, port, _ := net.SplitHostPort(x.s.addr)
	p, _ := strconv.Atoi(port)
	x.head("application/json")
	_ = json.NewEncoder(x.w).Encode(map[string]any{
		"id": "cmpl-" + x.j.ID, "object": "chat.completion", "created": time.Now().Unix(), "model": x.q.Model,
		"choices": []any{map[string]any{"index": 0, "message": map[string]any{"role": "assistant", "content": "x"}, "finish_reason": "length"}},
		"usage": map[string]any{
			"prompt_tokens": int(x.j.Prompt), "completion_tokens": 1, "total_tokens": int(x.j.Prompt) + 1,
			"prompt_tokens_details": map[string]any{"cached_tokens": int(x.kept)},
		},
		"kv_transfer_params": map[string]any{
			"do_remote_prefill": true, "do_remote_decode": false, "remote_engine_id": x.s.cfg.Name,
			"remote_block_ids": []int{1}, "remote_host": host, "remote_port": p, "remote_request_id": x.j.ID, "remote_tokens": x.j.Prompt,
		},
	})
}

// head sets what every answer carries.
func (x *run) head(contentType string) {
	h := x.w.Header()
	h.Set("Content-Type", contentType)
	s := x.s
	s.mu.Lock()
	util, queue, mem := s.m.Load()
	if !s.faults.Frozen || s.load == "" {
		s.load = fmt.Sprintf("TEXT named_metrics.util=%.3f, named_metrics.queue=%.0f, named_metrics.kv_cache_usage_perc=%.3f", util, queue, mem)
	}
	load, none := s.load, s.faults.NoReports
	s.mu.Unlock()
	if !none && x.r.Header.Get("endpoint-load-metrics-format") == "TEXT" {
		h.Set("endpoint-load-metrics", load)
	}
}

// fetch takes the state from the reader; false: there is none any more.
func (x *run) fetch() bool {
	body, _ := json.Marshal(map[string]string{"id": x.q.KV.Request})
	url := "http://" + net.JoinHostPort(x.q.KV.Host, strconv.Itoa(x.q.KV.Port)) + "/standin/take"
	resp, err := x.s.peers.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (x *run) write() {
	if !x.submit() {
		x.s.turn(x.w, false)
		return
	}
	wrote, fetched, sent := false, x.j.FetchState == 0, 0
	breakAt := -1
	if rand.Float64() < x.faults.ResetMid {
		breakAt = 1 + rand.IntN(5)
	}
	ctx := x.r.Context()
	for {
		select {
		case <-ctx.Done():
			x.cancel()
			if x.s.cfg.CanCancel {
				return
			}
			ctx = context.Background() // the work goes on; nobody reads
			continue
		case <-x.wake:
		}
		v := x.look()
		if v.lost {
			reset(x.w)
			return
		}
		if v.begun && !fetched {
			if !x.fetch() {
				x.s.mu.Lock()
				x.s.m.Cancel(x.s.now(), x.j)
				x.s.plan()
				x.s.mu.Unlock()
				x.s.turn(x.w, true)
				return
			}
			fetched = true
			x.poke() // tokens may have come meanwhile
			continue
		}
		if v.tokens == 0 {
			continue
		}
		if !wrote {
			wrote = true
			x.took()
			switch u := rand.Float64(); {
			case u < x.faults.ResetRun:
				reset(x.w)
				x.cancel()
				return
			case u < x.faults.FailRun:
				http.Error(x.w, `{"error":{"message":"engine fault","type":"server_error"}}`, http.StatusInternalServerError)
				x.cancel()
				return
			case u < x.faults.StallRun:
				<-x.r.Context().Done()
				x.cancel()
				return
			}
			x.head("text/event-stream")
		}
		for ; sent < v.tokens; sent++ {
			if breakAt == sent {
				reset(x.w)
				x.cancel()
				return
			}
			x.event(sent)
		}
		for x.flooding() {
			x.event(sent)
			if x.r.Context().Err() != nil {
				break
			}
		}
		if v.done {
			x.last()
		}
		_ = http.NewResponseController(x.w).Flush()
		if v.done {
			return
		}
	}
}

// took records that the request takes effect here, unless the group has seen its key.
func (x *run) took() {
	m := x.q.Metadata
	if m["effect"] == "" {
		return
	}
	e := audit.Event{Kind: audit.Executed, Request: x.j.ID, Attempt: m["try"], Intent: m["effect"], Class: audit.Class(m["kind"])}
	if key := x.r.Header.Get("Idempotency-Key"); key != "" && !x.s.cfg.Group.first(key) {
		e.Kind = audit.Deduplicated
	}
	x.s.record(e)
}

// send writes one event with the given choices.
func (x *run) send(choices []any, more map[string]any) {
	object := "chat.completion.chunk"
	if len(x.q.Messages) == 0 {
		object = "text_completion"
	}
	ev := map[string]any{"id": "cmpl-" + x.j.ID, "object": object, "created": x.created, "model": x.q.Model, "choices": choices}
	maps.Copy(ev, more)
	b, err := json.Marshal(ev)
	if err != nil { // plain values only
		panic(err)
	}
	fmt.Fprintf(x.w, "data: %s\n\n", b)
}

// choices are those of one event, as many as were asked for; words are the n-th of each.
func (x *run) choices(word string, first bool, finish any) []any {
	var out []any
	for i := range min(max(deref(x.q.N), 1), 8) {
		c := map[string]any{"index": i, "finish_reason": finish}
		delta := map[string]any{}
		if word != "" {
			delta["content"] = word
		}
		if first {
			delta["role"] = "assistant"
		}
		if len(x.q.Messages) == 0 {
			c["text"] = word
		} else {
			c["delta"] = delta
		}
		out = append(out, c)
	}
	return out
}

func deref(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}

func (x *run) event(n int) { x.send(x.choices(fmt.Sprintf("w%d ", n), n == 0, nil), nil) }

// last writes the end of the stream. An answer that max_tokens cut says so.
func (x *run) last() {
	finish := "stop"
	if most := max(deref(x.q.MaxTokens), deref(x.q.MaxNew)); most > 0 && x.j.Out >= most {
		finish = "length"
	}
	x.send(x.choices("", false, finish), nil)
	if x.q.Options.Usage {
		out := x.j.Out * min(max(deref(x.q.N), 1), 8)
		x.send([]any{}, map[string]any{"usage": map[string]int{"prompt_tokens": int(x.j.Prompt), "completion_tokens": out, "total_tokens": int(x.j.Prompt) + out}})
	}
	io.WriteString(x.w, "data: [DONE]\n\n")
}

// give ends the holding of a state.
func (s *Server) give(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.m.Take(s.now(), id)
	s.plan()
	return ok
}

// unwanted lets go of a state, now or, where its read still runs, when that ends.
func (s *Server) unwanted(id string) bool {
	s.mu.Lock()
	now := time.Now()
	for k, at := range s.letGo {
		if now.Sub(at) > s.cfg.Params.StateTTL {
			delete(s.letGo, k)
		}
	}
	s.letGo[id] = now
	s.mu.Unlock()
	return s.give(id)
}

func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	hook := s.beforeTake
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
	var q struct{ ID string }
	if json.NewDecoder(r.Body).Decode(&q) != nil || !s.give(q.ID) {
		http.Error(w, "no such state", http.StatusNotFound)
	}
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID string `json:"request_id"`
	}
	if s.cfg.PlainVLLM || json.NewDecoder(r.Body).Decode(&q) != nil || !s.unwanted(q.ID) {
		http.Error(w, `{"error":{"message":"nothing is held","type":"invalid_request_error"}}`, http.StatusNotFound)
	}
}
