package api

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Source is the part of a request that a rule or a key reads.
type Source uint8

// The sources. Not every one fits every use; the settings' checker rejects those that do not.
const (
	FromPath           Source = iota // the request's path
	FromModel                        // the model
	FromHeader                       // a header field
	FromAPIKey                       // the SHA-256, in hex, of the bearer token
	FromUser                         // the user field of the body
	FromSystemMessages               // leading system and developer messages
	FromFirstMessage                 // everything up to the first user message
	FromOpening                      // the first bytes of the text
)

// Match is a condition on a request.
type Match struct {
	From   Source
	Name   string // of a header field
	Equals string // the value, or
	Prefix string // how it begins
}

// Rule assigns the class or tenant of an index to the requests that match.
type Rule struct {
	Match Match
	Index int
}

// Key distinguishes sessions or shared prefixes: the first source that has a value counts.
type Key struct {
	From  Source
	Name  string // of a header field
	Bytes int    // for FromOpening
}

// Model is a model served under a name.
type Model struct {
	Name          string
	BytesPerToken float64
	MaxOutput     int // tokens, for requests that give no limit
}

// Classifier reads class, tenant, session, prefix and lengths from requests. It is not changed once in use.
type Classifier struct {
	Classes, Tenants            []Rule
	DefaultClass, DefaultTenant int // -1 = the request is invalid
	Sessions, Prefixes          []Key
	Models                      []Model
}

// Classification is what routing needs to know of a request.
type Classification struct {
	Class, Tenant                 int
	Session, Prefix               uint64 // hashes; 0 = none
	PromptTokens                  float64
	PrefixTokens, MaxOutputTokens float64
	IdempotencyKey                string
	Retry                         bool // the client's SDK retries by itself
}

// RoutingRequest is the request for the router; deadline is on the router's clock.
func (c *Classification) RoutingRequest(id routing.RequestID, deadline time.Duration) routing.Request {
	return routing.Request{
		ID: id, Class: c.Class, Tenant: c.Tenant, Session: c.Session, Prefix: c.Prefix,
		PromptTokens: c.PromptTokens, PrefixTokens: c.PrefixTokens, MaxOutputTokens: c.MaxOutputTokens,
		Deadline: deadline, Retry: c.Retry, PossibleDuplicate: c.Retry,
	}
}

// Classify classifies a request. The error says which part of it fits no rule.
func (c *Classifier) Classify(r *Request, h http1.Header) (Classification, *Error) {
	var result Classification
	model := c.model(r.Model)
	if model == nil {
		return result, modelNotFound(r.Model)
	}
	apiKey := hashedAPIKey(h)
	if result.Class = pickRule(c.Classes, c.DefaultClass, r, h, apiKey); result.Class < 0 {
		return result, invalid("", "no rule gives this request a class")
	}
	if result.Tenant = pickRule(c.Tenants, c.DefaultTenant, r, h, apiKey); result.Tenant < 0 {
		return result, &Error{
			Status: http.StatusUnauthorized, Type: TypeInvalidRequest, Code: codeInvalidAPIKey,
			Message: "no rule gives this request a tenant",
		}
	}
	result.PromptTokens = r.EstimateTokens(model.BytesPerToken)
	result.MaxOutputTokens = float64(r.MaxTokens)
	if r.MaxTokens == 0 {
		result.MaxOutputTokens = float64(model.MaxOutput)
	}
	result.Session, _ = pickKey(c.Sessions, r, h)
	var size int
	result.Prefix, size = pickKey(c.Prefixes, r, h)
	result.PrefixTokens = min(float64(size)/model.BytesPerToken, result.PromptTokens)
	result.IdempotencyKey, result.Retry = h.Get("Idempotency-Key"), IsRetry(h)
	return result, nil
}

// model returns the last model of that name, or nil.
func (c *Classifier) model(name string) (model *Model) {
	for i := range c.Models {
		if c.Models[i].Name == name {
			model = &c.Models[i]
		}
	}
	return model
}

// pickRule returns the index of the first rule that matches, or the default.
func pickRule(rules []Rule, defaultIndex int, r *Request, h http1.Header, apiKey string) int {
	for _, rule := range rules {
		m := &rule.Match
		v := ""
		switch m.From {
		case FromPath:
			v = r.Path
		case FromModel:
			v = r.Model
		case FromHeader:
			v = h.Get(m.Name)
		case FromAPIKey:
			v = apiKey
		case FromUser:
			v = r.User
		case FromSystemMessages, FromFirstMessage, FromOpening: // sources of keys only
		}
		if m.Equals != "" && v == m.Equals || m.Prefix != "" && strings.HasPrefix(v, m.Prefix) {
			return rule.Index
		}
	}
	return defaultIndex
}

// pickKey returns the hash of the first source that has a value, with the number of bytes of the prompt that it covers.
func pickKey(keys []Key, r *Request, h http1.Header) (hash uint64, size int) {
	for _, key := range keys {
		hash, size = 0, 0
		switch key.From {
		case FromHeader:
			hash = hashText(h.Get(key.Name))
		case FromUser:
			hash = hashText(r.User)
		case FromSystemMessages:
			hash, size = r.SystemPrefix()
		case FromFirstMessage:
			hash = r.FirstTurnHash()
		case FromOpening:
			hash, size = r.Prefix(key.Bytes)
		case FromPath, FromModel, FromAPIKey: // sources of rules only
		}
		if hash != 0 {
			return hash, size
		}
	}
	return 0, 0
}

// hashText is a hash that is 0 for no text only.
func hashText(s string) uint64 {
	if s == "" {
		return 0
	}
	return max(xxhash.Sum64String(s), 1)
}

// ModelList is the answer to GET /v1/models, or for one model with its name.
func (c *Classifier) ModelList(name string) ([]byte, *Error) {
	type object struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	var list []object
	for _, m := range c.Models {
		model := object{m.Name, "model", 0, "brackenbend"}
		if name == m.Name {
			return mustMarshal(model), nil
		}
		list = append(list, model)
	}
	if name != "" {
		return nil, modelNotFound(name)
	}
	return mustMarshal(map[string]any{"object": "list", "data": list}), nil
}
