package gateway

import (
	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"strings"
	"sync/atomic"
)

// openAI is the way in by OpenAI's API.
type openAI struct {
	classes []routing.Class
	routes  atomic.Pointer[api.Classifier]
	limits  *config.Limits
}

func newOpenAI(set *config.Settings) *openAI {
	o := &openAI{classes: set.RoutingConfig().Classes, limits: set.Limits}
	o.routes.Store(set.Classifier())
	return o
}

func invalidRequest(status int, code, message string) *Response {
	e := &api.Error{Status: status, Type: "invalid_request_error", Code: code, Message: message}
	return &Response{Status: status, Body: e.JSON()}
}

// RespondDirectly implements Way.
func (o *openAI) RespondDirectly(req *http1.Request) *Response {
	path := req.Path()
	switch {
	case path == api.PathChat || path == api.PathCompletions:
		if req.Method != "POST" {
			return invalidRequest(405, "", "use POST")
		}
		return nil
	case path == api.PathModels || strings.HasPrefix(path, api.PathModels+"/"):
		if req.Method != "GET" {
			return invalidRequest(405, "", "use GET")
		}
		text, e := o.routes.Load().ModelList(strings.TrimPrefix(strings.TrimPrefix(path, api.PathModels), "/"))
		if e != nil {
			return &Response{Status: e.Status, Body: e.JSON()}
		}
		return &Response{Status: 200, Body: text}
	}
	return invalidRequest(404, "not_found", "nothing is served at this path")
}

// ParseRequest implements Way.
func (o *openAI) ParseRequest(req *http1.Request, body []byte) (*ParsedRequest, *api.Error) {
	r, e := api.Parse(req.Path(), body)
	if e != nil {
		return nil, e
	}
	t, e := o.routes.Load().Classify(r, req.Header)
	if e != nil {
		return nil, e
	}
	class := &o.classes[t.Class]
	if class.Idempotency == routing.IdempotentWithKey && t.IdempotencyKey == "" {
		return nil, &api.Error{
			Status: 400, Type: "invalid_request_error", Code: "idempotency_key_missing",
			Message: "requests of the class " + class.Name + " need an Idempotency-Key header",
		}
	}
	if class.Idempotency != routing.IdempotentWithKey {
		t.IdempotencyKey = ""
	}
	told := api.ClientTimeout(req.Header)
	taken := &ParsedRequest{Routing: t.RoutingRequest(0, 0), Prompt: r, Path: r.Path, IdempotencyKey: t.IdempotencyKey, FirstTokenTimeout: api.EffectiveTimeout(class.Deadline, told)}
	if !r.Stream {
		taken.Collector, taken.AnswerTimeout = api.NewCollector(r.Chat, int(o.limits.MaxCollectedBytes)), told
	}
	return taken, nil
}
