package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"

	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// openAI is the ClientProtocol of OpenAI's API.
type openAI struct {
	classes    []routing.Class
	classifier atomic.Pointer[api.Classifier] // replaced by Gateway.Reload
	limits     *config.Limits
}

func newOpenAI(settings *config.Settings) *openAI {
	o := &openAI{classes: settings.RoutingConfig().Classes, limits: settings.Limits}
	o.classifier.Store(settings.Classifier())
	return o
}

func invalidRequest(status int, code, message string) *Response {
	response := errorResponse(&api.Error{Status: status, Type: api.TypeInvalidRequest, Code: code, Message: message})
	return &response
}

// RespondDirectly implements ClientProtocol.
func (o *openAI) RespondDirectly(req *http1.Request) *Response {
	path := req.Path()
	switch {
	case path == api.PathChat || path == api.PathCompletions:
		if req.Method != http.MethodPost {
			return invalidRequest(http.StatusMethodNotAllowed, "", "use POST")
		}
		return nil
	case path == api.PathModels || strings.HasPrefix(path, api.PathModels+"/"):
		if req.Method != http.MethodGet {
			return invalidRequest(http.StatusMethodNotAllowed, "", "use GET")
		}
		return o.respondModels(strings.TrimPrefix(strings.TrimPrefix(path, api.PathModels), "/"))
	}
	return invalidRequest(http.StatusNotFound, codeNotFound, "nothing is served at this path")
}

// respondModels responds with the model of the given name, or with the list of all models if name is empty.
func (o *openAI) respondModels(name string) *Response {
	body, apiErr := o.classifier.Load().ModelList(name)
	if apiErr != nil {
		response := errorResponse(apiErr)
		return &response
	}
	return &Response{Status: http.StatusOK, Body: body}
}

// ParseRequest implements ClientProtocol.
func (o *openAI) ParseRequest(req *http1.Request, body []byte) (*ParsedRequest, *api.Error) {
	request, apiErr := api.Parse(req.Path(), body)
	if apiErr != nil {
		return nil, apiErr
	}
	traits, apiErr := o.classifier.Load().Classify(request, req.Header)
	if apiErr != nil {
		return nil, apiErr
	}
	class := &o.classes[traits.Class]
	switch {
	case class.Idempotency != routing.IdempotentWithKey:
		traits.IdempotencyKey = ""
	case traits.IdempotencyKey == "":
		return nil, &api.Error{
			Status: http.StatusBadRequest, Type: api.TypeInvalidRequest, Code: codeNoIdempotencyKey,
			Message: "requests of the class " + class.Name + " need an Idempotency-Key header",
		}
	}
	timeout := api.ClientTimeout(req.Header)
	parsed := &ParsedRequest{
		Routing: traits.RoutingRequest(0, 0), Bodies: request, Path: request.Path, IdempotencyKey: traits.IdempotencyKey,
		FirstTokenTimeout: api.ShorterTimeout(class.Deadline, timeout),
	}
	if !request.Stream {
		parsed.Collector = api.NewCollector(request.Chat, int(o.limits.MaxCollectedBytes))
		parsed.AnswerTimeout = timeout
	}
	return parsed, nil
}
