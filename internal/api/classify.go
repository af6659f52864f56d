package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Source is where a rule or a key looks.
type Source uint8

// The sources. Not every one fits every use; the settings' checker says which do.
const (
	FromPath           Source = iota // the request's path
	FromModel                        // the model asked for
	FromHeader                       // a header field
	FromAPIKey                       // the SHA-256, in hex, of the bearer token
	FromUser                         // the user field of the body
	FromSystemMessages               // leading system and developer messages
	FromFirstMessage                 // everything up to the first user message
	FromOpening                      // the first bytes of the text
)

// Match is one condition; a rule's conditions must all hold.
type Match struct {
	From   Source
	Name   string // of a header
	Equals string // the value, or
	Prefix string // how it begins
}

// Rule gives the index of a class or tenant to the requests that match.
type Rule struct {
	Match Match
	Index int
}

// Key says how sessions or shared beginnings are told apart: the first source that gives something counts.
type Key struct {
	From  Source
	Name  string // of a header
	Bytes int    // for FromOpening
}

// Model is a model served under a name.
type Model struct {
	Name          string
	BytesPerToken float64
	MaxOutput     int // tokens; taken where a request names no limit
}

// Classifier reads class, tenant, session, prefix and lengths off requests.
type Classifier struct {
	Classes, Tenants            []Rule
	DefaultClass, DefaultTenant int // -1 = refused
	Sessions, Prefixes          []Key
	Models                      []Model
}

// Classification are what the decision module is told of a request.
type Classification struct {
	Class, Tenant                 int
	Session, Prefix               uint64 // 0 = none
	PromptTokens                  float64
	PrefixTokens, MaxOutputTokens float64 // tokens
	IdempotencyKey                string
	Retry                         bool // its client repeats it by itself
}

// RoutingRequest is the request as the decision module is told of it; due is by the module's clock.
func (t *Classification) RoutingRequest(id routing.RequestID, due time.Duration) routing.Request {
	return routing.Request{
		ID: id, Class: t.Class, Tenant: t.Tenant, Session: t.Session, Prefix: t.Prefix, PromptTokens: t.PromptTokens,
		PrefixTokens: t.PrefixTokens, MaxOutputTokens: t.MaxOutputTokens, Deadline: due, Retry: t.Retry, PossibleDuplicate: t.Retry,
	}
}

// EffectiveTimeout is how long a client waits: its class's time, or what it told if that is sooner (0 = it told nothing).
func EffectiveTimeout(class, told time.Duration) time.Duration {
	if told > 0 && told < class {
		return told
	}
	return class
}

// WithMargin is how long a front may take for an answer that must arrive within wait.
func WithMargin(wait, margin time.Duration) time.Duration { return max(wait-margin, wait/2) }

// Classify reads the traits, or says which part of the request fits no rule.
func (c *Classifier) Classify(r *Request, h http1.Header) (Classification, *Error) {
	var t Classification
	var model *Model
	for i := range c.Models {
		if c.Models[i].Name == r.Model {
			model = &c.Models[i]
		}
	}
	if model == nil {
		return t, &Error{
			Status: 404, Type: "invalid_request_error", Param: "model", Code: "model_not_found",
			Message: "the model " + quote(r.Model) + " is not served here",
		}
	}
	key := apiKey(h)
	if t.Class = pickRule(c.Classes, c.DefaultClass, r, h, key); t.Class < 0 {
		return t, invalid("", "no rule gives this request a class")
	}
	if t.Tenant = pickRule(c.Tenants, c.DefaultTenant, r, h, key); t.Tenant < 0 {
		return t, &Error{
			Status: 401, Type: "invalid_request_error", Code: "invalid_api_key",
			Message: "no rule gives this request a tenant",
		}
	}
	t.PromptTokens = r.EstimateTokens(model.BytesPerToken)
	t.MaxOutputTokens = float64(r.MaxTokens)
	if r.MaxTokens == 0 {
		t.MaxOutputTokens = float64(model.MaxOutput)
	}
	t.Session, _ = pickKey(c.Sessions, r, h)
	var size int
	t.Prefix, size = pickKey(c.Prefixes, r, h)
	t.PrefixTokens = min(float64(size)/model.BytesPerToken, t.PromptTokens)
	t.IdempotencyKey, t.Retry = h.Get("Idempotency-Key"), IsRetry(h)
	return t, nil
}

func pickRule(rules []Rule, none int, r *Request, h http1.Header, key string) int {
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
			v = key
		case FromUser:
			v = r.User
		}
		if m.Equals != "" && v == m.Equals || m.Prefix != "" && strings.HasPrefix(v, m.Prefix) {
			return rule.Index
		}
	}
	return none
}

func pickKey(keys []Key, r *Request, h http1.Header) (uint64, int) {
	for _, k := range keys {
		var v uint64
		size := 0
		switch k.From {
		case FromHeader:
			v = textKey(h.Get(k.Name))
		case FromUser:
			v = textKey(r.User)
		case FromSystemMessages:
			v, size = r.SystemPrefix()
		case FromFirstMessage:
			v = r.FirstTurnHash()
		case FromOpening:
			v, size = r.Prefix(k.Bytes)
		}
		if v != 0 {
			return v, size
		}
	}
	return 0, 0
}

func textKey(s string) uint64 {
	if s == "" {
		return 0
	}
	return max(xxhash.Sum64String(s), 1)
}

// apiKey is the hash of the bearer token, so that settings need not hold secrets.
func apiKey(h http1.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(token)))
	return hex.EncodeToString(sum[:])
}

func quote(s string) string {
	if len(s) > 60 {
		s = s[:60] + "..."
	}
	return "'" + strings.ToValidUTF8(s, "?") + "'"
}

// ModelList is the answer to GET /v1/models, or for one model by its name.
func (c *Classifier) ModelList(name string) ([]byte, *Error) {
	type object struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	var list []object
	for _, m := range c.Models {
		o := object{m.Name, "model", 0, "brackenbend"}
		if name == m.Name {
			return marshal(o), nil
		}
		list = append(list, o)
	}
	if name != "" {
		return nil, &Error{
			Status: 404, Type: "invalid_request_error", Param: "model", Code: "model_not_found",
			Message: "the model " + quote(name) + " is not served here",
		}
	}
	return marshal(map[string]any{"object": "list", "data": list}), nil
}

func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil { // only plain values come here
		panic(err)
	}
	return b
}
