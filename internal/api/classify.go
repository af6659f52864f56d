package api

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Source is the part of a request that a rule or an affinity key reads.
type Source uint8

// The sources. Package config rejects a source in a rule or a key that does not support it.
const (
	FromPath           Source = iota // the request's path
	FromModel                        // the model
	FromHeader                       // a header field
	FromAPIKey                       // the SHA-256, in hex, of the bearer token
	FromUser                         // the user field of the body
	FromSystemMessages               // the leading system and developer messages
	FromFirstMessage                 // all messages up to and including the first user message
	FromPromptPrefix                 // the first bytes of the prompt or the messages
)

// Match is a condition on the value that a source has in a request. Either Equals or Prefix is set.
type Match struct {
	Source     Source
	HeaderName string // for FromHeader
	Equals     string
	Prefix     string
}

// Rule assigns a class or a tenant, by its index, to the requests that match.
type Rule struct {
	Match Match
	Index int
}

// AffinityKey selects the part of a request that identifies its session or its shared prefix.
type AffinityKey struct {
	Source      Source
	HeaderName  string // for FromHeader
	PrefixBytes int    // length of the prefix, for FromPromptPrefix
}

// Model is a model that clients can request by its name.
type Model struct {
	Name            string
	BytesPerToken   float64
	MaxOutputTokens int // output tokens assumed for requests without a limit
}

// Classifier determines the class, tenant, session, prefix and lengths of requests. Of its rules the first that matches
// applies, and of its keys the first that has a value. It must not be modified once in use.
type Classifier struct {
	ClassRules, TenantRules     []Rule
	DefaultClass, DefaultTenant int // for requests that no rule matches; -1 = reject them
	SessionKeys, PrefixKeys     []AffinityKey
	Models                      []Model
}

// Classification holds the properties of a request that routing needs.
type Classification struct {
	Class, Tenant                 int
	Session, Prefix               uint64 // hashes; 0 = none
	PromptTokens                  float64
	PrefixTokens, MaxOutputTokens float64
	IdempotencyKey                string
	IsRetry                       bool // an automatic retry by the client's SDK
}

// RoutingRequest converts the classification to a request for the router. deadline is on the router's clock.
func (c *Classification) RoutingRequest(id routing.RequestID, deadline time.Duration) routing.Request {
	return routing.Request{
		ID: id, Class: c.Class, Tenant: c.Tenant, Session: c.Session, Prefix: c.Prefix,
		PromptTokens: c.PromptTokens, PrefixTokens: c.PrefixTokens, MaxOutputTokens: c.MaxOutputTokens,
		Deadline: deadline, Retry: c.IsRetry, PossibleDuplicate: c.IsRetry,
	}
}

// Classify classifies a request. It returns an error if the model is unknown or no rule assigns a class or a tenant.
func (c *Classifier) Classify(r *Request, h http1.Header) (Classification, *Error) {
	var result Classification
	model := c.model(r.Model)
	if model == nil {
		return result, modelNotFound(r.Model)
	}
	apiKey := hashedAPIKey(h)
	if result.Class = matchRule(c.ClassRules, c.DefaultClass, r, h, apiKey); result.Class < 0 {
		return result, invalidRequest("", "no rule gives this request a class")
	}
	if result.Tenant = matchRule(c.TenantRules, c.DefaultTenant, r, h, apiKey); result.Tenant < 0 {
		return result, &Error{
			Status: http.StatusUnauthorized, Type: TypeInvalidRequest, Code: codeInvalidAPIKey,
			Message: "no rule gives this request a tenant",
		}
	}
	result.PromptTokens = r.EstimateTokens(model.BytesPerToken)
	result.MaxOutputTokens = float64(r.MaxTokens)
	if r.MaxTokens == 0 {
		result.MaxOutputTokens = float64(model.MaxOutputTokens)
	}
	result.Session, _ = affinityHash(c.SessionKeys, r, h)
	var size int
	result.Prefix, size = affinityHash(c.PrefixKeys, r, h)
	result.PrefixTokens = min(float64(size)/model.BytesPerToken, result.PromptTokens)
	result.IdempotencyKey, result.IsRetry = h.Get("Idempotency-Key"), IsRetry(h)
	return result, nil
}

// model returns the last model with the given name, or nil.
func (c *Classifier) model(name string) (model *Model) {
	for i := range c.Models {
		if c.Models[i].Name == name {
			model = &c.Models[i]
		}
	}
	return model
}

// matchRule returns the Index of the first rule that matches, or defaultIndex.
func matchRule(rules []Rule, defaultIndex int, r *Request, h http1.Header, apiKey string) int {
	for _, rule := range rules {
		m := &rule.Match
		v := ""
		switch m.Source {
		case FromPath:
			v = r.Path
		case FromModel:
			v = r.Model
		case FromHeader:
			v = h.Get(m.HeaderName)
		case FromAPIKey:
			v = apiKey
		case FromUser:
			v = r.User
		case FromSystemMessages, FromFirstMessage, FromPromptPrefix: // valid in keys only
		}
		if m.Equals != "" && v == m.Equals || m.Prefix != "" && strings.HasPrefix(v, m.Prefix) {
			return rule.Index
		}
	}
	return defaultIndex
}

// affinityHash returns the hash of the first key that has a value. size is the number of bytes of the prompt that the
// hash covers, for FromSystemMessages and FromPromptPrefix, else 0. If no key has a value, both are 0.
func affinityHash(keys []AffinityKey, r *Request, h http1.Header) (hash uint64, size int) {
	for _, key := range keys {
		hash, size = 0, 0
		switch key.Source {
		case FromHeader:
			hash = hashText(h.Get(key.HeaderName))
		case FromUser:
			hash = hashText(r.User)
		case FromSystemMessages:
			hash, size = r.SystemMessagesHash()
		case FromFirstMessage:
			hash = r.FirstTurnHash()
		case FromPromptPrefix:
			hash, size = r.PromptPrefixHash(key.PrefixBytes)
		case FromPath, FromModel, FromAPIKey: // valid in rules only
		}
		if hash != 0 {
			return hash, size
		}
	}
	return 0, 0
}

// hashText returns a hash that is 0 only for the empty string.
func hashText(s string) uint64 {
	if s == "" {
		return 0
	}
	return max(xxhash.Sum64String(s), 1)
}

// ModelList returns the response body of GET /v1/models or, if name is not empty, of GET /v1/models/{name}.
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
