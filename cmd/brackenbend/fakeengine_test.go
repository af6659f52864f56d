package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// engineEnv is the environment variable with the name, the role and the delay of a fake engine's process.
const engineEnv = "BRACKENBEND_TEST_ENGINE"

// Roles of engine processes. The kinds of engines in fleetConfig have the same names.
const (
	prefillEngine = "prefill"
	decodeEngine  = "decode"
)

// engineEvent is an event that an engine's process reports, one JSON object a line.
type engineEvent struct {
	Engine string
	Kind   string // one of the constants below
	ID     string // of the request
	At     int64  // Unix time in nanoseconds; all processes are on one machine
}

const (
	eventListening      = "listening"       // the process accepts connections; ID is its address
	eventPrefilled      = "prefilled"       // a prefill is done, and its response follows
	eventDecodeReceived = "decode received" // a running engine has read a decode request to its last byte
	eventReleased       = "released"        // a running engine has received a release
)

// engineStream is the response to each decode request.
const engineStream = tokenEvent + finishEvent + usageEvent + doneEvent

// engineProcess is a fake engine of the platform that reports the requests that reach it on standard output.
type engineProcess struct {
	name, role    string
	responseDelay time.Duration // before the answer to a prefill, or the first token of a decode

	mu sync.Mutex // guards standard output
}

// fakeEngineMain is the main function of an engine's process; TestMain runs it if engineEnv is set.
func fakeEngineMain(name, role, delayText string) int {
	delay, err := time.ParseDuration(delayText)
	if err != nil {
		return exitUsage
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitFailure
	}
	p := &engineProcess{name: name, role: role, responseDelay: delay}
	p.report(eventListening, l.Addr().String())
	_ = http.Serve(l, p)
	return 0
}

func (p *engineProcess) report(kind, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(engineEvent{p.name, kind, id, time.Now().UnixNano()})
}

func (p *engineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Req-Id")
	switch {
	case r.Method == http.MethodDelete:
		p.report(eventReleased, strings.TrimPrefix(r.URL.Path, "/state/"))
		w.WriteHeader(http.StatusNoContent)
	case p.role == prefillEngine:
		time.Sleep(p.responseDelay)
		p.report(eventPrefilled, id)
		w.WriteHeader(http.StatusAccepted)
		_, _ = fmt.Fprint(w, `{"cached_tokens":0}`)
	default:
		p.report(eventDecodeReceived, id)
		select {
		case <-time.After(p.responseDelay):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, engineStream)
	}
}
