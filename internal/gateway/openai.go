package gateway

import (
	"strings"
	"sync/atomic"

	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// openAI is the way in by OpenAI's API.
type openAI struct {
	classes []routing.Class
	routes  atomic.Pointer[api.Classifier]
	limits  *config.Limits
}

func newOpenAI(set *config.Settings) *openAI {
	o := &openAI{classes: set.Choice().Classes, limits: set.Limits}
	o.routes.Store(set.Classifier())
	return o
}

func wrong(status int, code, message string) *Answer {
	e := &api.Error{Status: status, Type: "invalid_request_error", Code: code, Message: message}
	return &Answer{Status: status, Body: e.JSON()}
}

// Plain implements Way.
func (o *openAI) Plain(req *http1.Request) *Answer {
	path := req.Path()
	switch {
	case path == api.PathChat || path == api.PathCompletions:
		if req.Method != "POST" {
			return wrong(405, "", "use POST")
		}
		return nil
	case path == api.PathModels || strings.HasPrefix(path, api.PathModels+"/"):
		if req.Method != "GET" {
			return wrong(405, "", "use GET")
		}
		text, e := o.routes.Load().ModelList(strings.TrimPrefix(strings.TrimPrefix(path, api.PathModels), "/"))
		if e != nil {
			return &Answer{Status: e.Status, Body: e.JSON()}
		}
		return &Answer{Status: 200, Body: text}
	}
	return wrong(404, "not_found", "nothing is served at this path")
}

// Take implements Way.
func (o *openAI) Take(req *http1.Request, body []byte) (*Taken, *api.Error) {
	r, e := api.Parse(req.Path(), body)
	if e != nil {
		return nil, e
	}
	t, e := o.routes.Load().Classify(r, req.Header)
	if e != nil {
		return nil, e
	}
	class := &o.classes[t.Class]
	if class.Effect == routing.Keyed && t.IdempotencyKey == "" {
		return nil, &api.Error{Status: 400, Type: "invalid_request_error", Code: "idempotency_key_missing",
			Message: "requests of the class " + class.Name + " need an Idempotency-Key header"}
	}
	if class.Effect != routing.Keyed {
		t.IdempotencyKey = ""
	}
	told := api.ClientTime(req.Header)
	taken := &Taken{Event: t.Event(0, 0), Prompt: r, Path: r.Path, Key: t.IdempotencyKey, Wait: api.Wait(class.Deadline, told)}
	if !r.Stream {
		taken.Whole, taken.Last = api.NewWhole(r.Chat, int(o.limits.Whole)), told
	}
	return taken, nil
}
