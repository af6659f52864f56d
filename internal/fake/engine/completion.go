package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/enginemodel"
)

// completion is one request in flight: a prefill, a decode or both. It runs on the goroutine of its HTTP handler, which
// the callbacks of the model wake; those run on any goroutine, with Server.mu held.
type completion struct {
	server  *Server
	job     *enginemodel.Job
	request *completionRequest
	faults  Faults // those in force at its arrival
	writer  http.ResponseWriter
	httpReq *http.Request
	created int64
	wake    chan struct{} // has a buffer of one, so that a callback never blocks

	progress progress // guarded by Server.mu
}

// progress is how far the model has processed a job.
type progress struct {
	started, done, lost bool
	tokens              int
	cachedTokens        float64 // prompt tokens found in the prefix cache
}

func newCompletion(
	s *Server, job *enginemodel.Job, request *completionRequest, faults Faults, w http.ResponseWriter, r *http.Request,
) *completion {
	return &completion{
		server:  s,
		job:     job,
		request: request,
		faults:  faults,
		writer:  w,
		httpReq: r,
		created: time.Now().Unix(),
		wake:    make(chan struct{}, 1),
	}
}

// serve submits the job and writes the response.
func (c *completion) serve() {
	switch {
	case !c.submit():
		c.server.reject(c.writer, false)
	case c.job.PrefillOnly:
		c.prefill()
	default:
		newDecodeStream(c).run()
	}
}

// notify wakes the goroutine of the request.
func (c *completion) notify() {
	select {
	case c.wake <- struct{}{}:
	default: // an earlier notification is pending, and the goroutine will see this change with it
	}
}

// submit submits the job to the model and reports whether it was accepted.
func (c *completion) submit() bool {
	c.job.OnStart = func() { c.progress.started = true; c.notify() }
	c.job.OnToken = func(n int) { c.progress.tokens = n; c.notify() }
	c.job.OnLost = func() { c.progress.lost = true; c.notify() }
	c.job.OnDone = func(cachedTokens float64) {
		c.progress.done, c.progress.cachedTokens = true, cachedTokens
		if c.job.PrefillOnly {
			c.server.recordHeld(c.job.ID)
		}
		c.notify()
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	ok := c.server.process.up && !c.server.rejectsRequestsLocked() && c.server.model.Submit(c.server.now(), c.job)
	c.server.onModelChange()
	return ok
}

// abandon cancels a job whose response ends early, if the engine cancels on disconnect or has not started the job.
func (c *completion) abandon() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.cfg.CanCancel || !c.progress.started {
		c.cancelLocked()
	}
}

// cancel removes the job from the model.
func (c *completion) cancel() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.cancelLocked()
}

// cancelLocked is cancel with Server.mu held.
func (c *completion) cancelLocked() {
	c.server.model.Cancel(c.server.now(), c.job)
	c.server.onModelChange()
}

// currentProgress returns a copy of the progress.
func (c *completion) currentProgress() progress {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.progress
}

// awaitChange waits for progress of the job. It returns false if ctx is canceled first.
func (c *completion) awaitChange(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.wake:
		return true
	}
}

// prefill waits until the prefill has ended and writes the response.
func (c *completion) prefill() {
	for {
		if !c.awaitChange(c.httpReq.Context()) {
			c.abandon()
			return
		}
		current := c.currentProgress()
		if current.lost {
			resetRequest(c.writer)
			return
		}
		if current.done {
			if hook := c.server.currentHooks().afterPrefill; hook != nil {
				hook()
			}
			c.writePrefillResponse(current.cachedTokens)
			return
		}
	}
}

// object is a JSON object of a response.
type object = map[string]any

func (c *completion) writePrefillResponse(cachedTokens float64) {
	host, port := c.server.hostPort()
	c.setHeader("application/json")
	promptTokens := int(c.job.PromptTokens)
	response := object{
		"id":      "cmpl-" + c.job.ID,
		"object":  "chat.completion",
		"created": time.Now().Unix(),
		"model":   c.request.Model,
		"choices": []any{object{
			"index":         0,
			"message":       object{"role": "assistant", "content": "x"},
			"finish_reason": "length",
		}},
		"usage": object{
			"prompt_tokens":         promptTokens,
			"completion_tokens":     1,
			"total_tokens":          promptTokens + 1,
			"prompt_tokens_details": object{"cached_tokens": int(cachedTokens)},
		},
		"kv_transfer_params": object{
			"do_remote_prefill": true,
			"do_remote_decode":  false,
			"remote_engine_id":  c.server.cfg.Name,
			"remote_block_ids":  []int{1},
			"remote_host":       host,
			"remote_port":       port,
			"remote_request_id": c.job.ID,
			"remote_tokens":     c.job.PromptTokens,
		},
	}
	_ = json.NewEncoder(c.writer).Encode(response) // fails only if the connection has closed
}

// hostPort returns the address on which the engine listens.
func (s *Server) hostPort() (host string, port int) {
	host, number, err := net.SplitHostPort(s.Info().Address)
	if err != nil {
		return "", 0
	}
	port, err = strconv.Atoi(number)
	if err != nil {
		return "", 0
	}
	return host, port
}

// setHeader sets the header fields of a successful response.
func (c *completion) setHeader(contentType string) {
	header := c.writer.Header()
	header.Set("Content-Type", contentType)
	if report, ok := c.server.currentLoadReport(); ok && c.httpReq.Header.Get("endpoint-load-metrics-format") == "TEXT" {
		header.Set("endpoint-load-metrics", report)
	}
}

// currentLoadReport returns the load as an ORCA report in its text format, and whether reports are sent. While reports
// are frozen it repeats the last one.
func (s *Server) currentLoadReport() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.FrozenReports || s.loadReport == "" {
		utilization, queue, memory := s.model.Load()
		s.loadReport = fmt.Sprintf(
			"TEXT named_metrics.util=%.3f, named_metrics.queue=%.0f, named_metrics.kv_cache_usage_perc=%.3f",
			utilization, queue, memory)
	}
	return s.loadReport, !s.faults.NoReports
}

// recordEffect records that the request takes effect here, or that it is a duplicate because its idempotency key was
// seen in the dedup scope within the dedup window.
func (c *completion) recordEffect() {
	metadata := c.request.Metadata
	if metadata["effect"] == "" {
		return
	}
	event := audit.Event{
		Kind:    audit.Executed,
		Request: c.job.ID,
		Attempt: metadata["try"],
		Intent:  metadata["effect"],
		Class:   audit.Class(metadata["kind"]),
	}
	if key := c.httpReq.Header.Get("Idempotency-Key"); key != "" && !c.server.cfg.DedupScope.firstUse(key) {
		event.Kind = audit.Deduplicated
	}
	c.server.record(event)
}
