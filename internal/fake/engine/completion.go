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

// completion is one prefill or decode under way. Its goroutine is the one of net/http; the model's callbacks, which run
// on other goroutines with Server.mu held, wake it.
type completion struct {
	s       *Server
	job     *enginemodel.Job
	request *completionRequest
	faults  Faults // those at its arrival
	w       http.ResponseWriter
	r       *http.Request
	created int64
	wake    chan struct{} // has room for one, so that a callback never blocks

	progress progress // guarded by Server.mu
}

// progress is how far the model is with a job.
type progress struct {
	begun, done, lost bool
	tokens            int
	cachedTokens      float64 // found in the prefix cache
}

func newCompletion(
	s *Server, job *enginemodel.Job, request *completionRequest, faults Faults, w http.ResponseWriter, r *http.Request,
) *completion {
	return &completion{
		s:       s,
		job:     job,
		request: request,
		faults:  faults,
		w:       w,
		r:       r,
		created: time.Now().Unix(),
		wake:    make(chan struct{}, 1),
	}
}

// serve runs the request to its end.
func (c *completion) serve() {
	switch {
	case !c.submit():
		c.s.reject(c.w, false)
	case c.job.PrefillOnly:
		c.prefill()
	default:
		newDecodeStream(c).run()
	}
}

// notify wakes the request's goroutine.
func (c *completion) notify() {
	select {
	case c.wake <- struct{}{}:
	default: // it will wake for an earlier change and see this one too
	}
}

// submit hands the job to the model; false: rejected.
func (c *completion) submit() bool {
	c.job.OnStart = func() { c.progress.begun = true; c.notify() }
	c.job.OnToken = func(n int) { c.progress.tokens = n; c.notify() }
	c.job.OnLost = func() { c.progress.lost = true; c.notify() }
	c.job.OnDone = func(cachedTokens float64) {
		c.progress.done, c.progress.cachedTokens = true, cachedTokens
		if c.job.PrefillOnly {
			c.s.holdState(c.job.ID)
		}
		c.notify()
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	ok := c.s.process.up && !c.s.rejectsNewLocked() && c.s.model.Submit(c.s.now(), c.job)
	c.s.schedule()
	return ok
}

// abandon ends the job of a connection that ended, where the engine can cancel or has not begun it.
func (c *completion) abandon() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.cfg.CanCancel || !c.progress.begun {
		c.cancelLocked()
	}
}

// cancel ends the job.
func (c *completion) cancel() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.cancelLocked()
}

// cancelLocked is cancel with Server.mu held.
func (c *completion) cancelLocked() {
	c.s.model.Cancel(c.s.now(), c.job)
	c.s.schedule()
}

// currentProgress returns a copy of the progress.
func (c *completion) currentProgress() progress {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.progress
}

// awaitChange waits until the model has moved the job; false: ctx was canceled.
func (c *completion) awaitChange(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.wake:
		return true
	}
}

// prefill waits for the end of a prefill and answers it.
func (c *completion) prefill() {
	for {
		if !c.awaitChange(c.r.Context()) {
			c.abandon()
			return
		}
		now := c.currentProgress()
		if now.lost {
			resetConnection(c.w)
			return
		}
		if now.done {
			if hook := c.s.currentHooks().afterPrefill; hook != nil {
				hook()
			}
			c.writePrefillAnswer(now.cachedTokens)
			return
		}
	}
}

// object is a JSON object of an answer.
type object = map[string]any

func (c *completion) writePrefillAnswer(cachedTokens float64) {
	host, port := c.s.hostPort()
	c.writeHead("application/json")
	promptTokens := int(c.job.PromptTokens)
	answer := object{
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
			"remote_engine_id":  c.s.cfg.Name,
			"remote_block_ids":  []int{1},
			"remote_host":       host,
			"remote_port":       port,
			"remote_request_id": c.job.ID,
			"remote_tokens":     c.job.PromptTokens,
		},
	}
	_ = json.NewEncoder(c.w).Encode(answer) // fails only when the connection is gone
}

// hostPort is where the engine listens.
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

// writeHead sets the header fields that every answer has.
func (c *completion) writeHead(contentType string) {
	header := c.w.Header()
	header.Set("Content-Type", contentType)
	if report, ok := c.s.currentLoadReport(); ok && c.r.Header.Get("endpoint-load-metrics-format") == "TEXT" {
		header.Set("endpoint-load-metrics", report)
	}
}

// currentLoadReport is the load in the text form of ORCA reports; false: none are sent.
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

// recordEffect records that the request takes effect here, unless the dedup group has seen its key.
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
	if key := c.r.Header.Get("Idempotency-Key"); key != "" && !c.s.cfg.Group.first(key) {
		event.Kind = audit.Deduplicated
	}
	c.s.record(event)
}
