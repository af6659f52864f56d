// Package protocol is the platform's protocol: how clients' requests to a front node are read, what engines are told
// and how their answers are read (docs/node.md prints the table). It opens no sockets and decides nothing about a
// request.
package protocol

import (
	"brackenbend/internal/api"
	"brackenbend/internal/engine"
	"brackenbend/internal/gateway"
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// The platform's names.
const (
	pathHealth = "/healthz"
	pathState  = "/state/"

	fieldID       = "Req-Id"
	fieldClass    = "Req-Kind"
	fieldTenant   = "Req-Owner"
	fieldKey      = "Req-Key"
	fieldDeadline = "Req-Deadline-Ms"
	fieldExtra    = "Req-Extra"
	fieldRetry    = "Req-Retry"
	fieldDeclined = "Srv-Declined"

	// HeaderLoadReport names load reports.
	HeaderLoadReport = "Srv-Load"
)

// Bounds on what a request may say of itself.
const (
	idMost       = 128
	deadlineMost = 24 * time.Hour
	tokensMost   = 1e9
)

// Clients is the way in by the platform's protocol.
type Clients struct {
	Classes  []routing.Class
	Tenants  []string
	NotReady func() string // why the front node should get no clients; "" when it should
}

var _ gateway.ClientProtocol = (*Clients)(nil)

func answer(e *api.Error) *gateway.Response {
	return &gateway.Response{Status: e.Status, Body: e.JSON()}
}

func invalid(status int, format string, a ...any) *api.Error {
	return &api.Error{Status: status, Type: "invalid_request_error", Message: fmt.Sprintf(format, a...)}
}

// RespondDirectly implements gateway.ClientProtocol.
func (c *Clients) RespondDirectly(req *http1.Request) *gateway.Response {
	switch path := req.Path(); {
	case path == pathHealth && (req.Method == "GET" || req.Method == "HEAD"):
		if why := c.NotReady(); why != "" {
			return answer(&api.Error{Status: 503, Type: "server_error", Message: why})
		}
		if req.Method == "HEAD" {
			return &gateway.Response{Status: 200}
		}
		return &gateway.Response{Status: 200, Body: []byte("{\"status\":\"ready\"}\n")}
	case path != api.PathChat:
		return answer(invalid(404, "nothing is served at this path"))
	case req.Method != "POST":
		return answer(invalid(405, "use POST"))
	case req.Minor == 0:
		return answer(invalid(505, "HTTP/1.1 is spoken here: a stream's end could not be told from a break"))
	}
	return nil
}

// ParseRequest implements gateway.ClientProtocol. Nothing that an engine could not use passes.
func (c *Clients) ParseRequest(req *http1.Request, body []byte) (*gateway.ParsedRequest, *api.Error) {
	h, once := req.Header, map[string]string{}
	for _, f := range h {
		name := strings.ToLower(f.Name)
		if !strings.HasPrefix(name, "req-") && name != strings.ToLower(engine.HeaderIdempotencyKey) {
			continue
		}
		if _, twice := once[name]; twice {
			return nil, invalid(400, "%s is given twice", f.Name)
		}
		once[name] = f.Value
	}
	get := func(name string) string { return once[strings.ToLower(name)] }

	t := &gateway.ParsedRequest{ClientID: get(fieldID), Path: req.Target, IdempotencyKey: get(engine.HeaderIdempotencyKey), Prompt: prompt(body)}
	if !plainID(t.ClientID) {
		return nil, invalid(400, "%s must be 1 to %d letters, digits, dots, dashes and underscores", fieldID, idMost)
	}
	ev := &t.Routing
	if ev.Class = slices.IndexFunc(c.Classes, func(k routing.Class) bool { return k.Name == get(fieldClass) }); ev.Class < 0 {
		return nil, invalid(400, "%s %.64q is no class", fieldClass, get(fieldClass))
	}
	if ev.Tenant = slices.Index(c.Tenants, get(fieldTenant)); ev.Tenant < 0 && (len(c.Tenants) > 0 || get(fieldTenant) != "") {
		return nil, invalid(400, "%s %.64q is no tenant", fieldTenant, get(fieldTenant))
	}
	ms, err := strconv.ParseUint(get(fieldDeadline), 10, 32)
	if t.FirstTokenTimeout = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || t.FirstTokenTimeout > deadlineMost {
		return nil, invalid(400, "%s must be a whole number of milliseconds, it is %.64q", fieldDeadline, get(fieldDeadline))
	}
	if k := get(fieldKey); k != "" {
		ev.Session = hash(k)
	}
	switch v := get(fieldRetry); v {
	case "", "0":
	case "1":
		ev.Retry = true
	case "again":
		ev.ResumedStream = true
	default:
		return nil, invalid(400, "%s must be 1 or again, it is %.64q", fieldRetry, v)
	}
	if e := extra(ev, get(fieldExtra)); e != nil {
		return nil, e
	}
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return nil, invalid(400, "the body is not a JSON object")
	}
	return t, nil
}

// extra reads "prefix=5c0f,prompt_len=5120,...". Names that it does not know are passed over.
func extra(ev *routing.Request, v string) *api.Error {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(v, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		if !ok || seen[name] {
			return invalid(400, "%s: %.64q is given twice or has no value", fieldExtra, part)
		}
		seen[name] = true
		var into *float64
		switch name {
		case "prefix":
			if text != "" {
				ev.Prefix = hash(text)
			}
			continue
		case "prompt_len":
			into = &ev.PromptTokens
		case "prefix_len":
			into = &ev.PrefixTokens
		case "max_out":
			into = &ev.MaxOutputTokens
		default:
			continue
		}
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || f < 0 || f > tokensMost {
			return invalid(400, "%s: %s must be a number of tokens, it is %.64q", fieldExtra, name, text)
		}
		*into = f
	}
	if !seen["prompt_len"] || !seen["max_out"] {
		return invalid(400, "%s must give prompt_len and max_out", fieldExtra)
	}
	return nil
}

// hash names a conversation or an opening to the module; 0 is kept for none.
func hash(s string) uint64 { return max(xxhash.Sum64String(s), 1) }

// plainID tells that an id can stand in a path and a header field as it is.
func plainID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return id != "" && len(id) <= idMost
}

// prompt passes on unchanged, to readers and writers alike.
type prompt []byte

func (p prompt) PrefillBody() []byte                     { return p }
func (p prompt) DecodeBody(json.RawMessage, bool) []byte { return p }

// Engines is what engines are told and how their answers are read.
type Engines struct{}

var _ engine.Protocol = Engines{}

// AppendHead implements engine.Dialect. The deadline is the time for which the front node will wait.
func (Engines) AppendHead(b []byte, s *engine.Endpoint, call *engine.Call) []byte {
	b = append(b, "POST "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", s.Address)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	b = http1.AppendField(b, fieldID, call.ID)
	if call.IdempotencyKey != "" { // engines know repeats of a request by it
		b = http1.AppendField(b, engine.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return http1.AppendField(b, fieldDeadline, strconv.FormatInt(max(time.Until(call.Deadline).Milliseconds(), 1), 10))
}

// ParseReply implements engine.Dialect.
func (Engines) ParseReply(read bool, resp *http1.Response, text []byte, _ error) engine.Outcome {
	out := engine.Outcome{Result: routing.EngineError}
	declined := resp.Header.Get(fieldDeclined) == "1"
	switch {
	case read && resp.Status == 202:
		out.Result = routing.PrefillDone
		if n := gjson.GetBytes(text, "cached_tokens"); gjson.ValidBytes(text) && n.Type == gjson.Number && n.Num >= 0 && n.Num <= tokensMost {
			out.CachedTokens = n.Num
		}
		return out
	case declined && (resp.Status == 503 || resp.Status == 504):
		out.Result = routing.Rejected
	case declined && resp.Status == 410:
		out.Result, out.StateMissing = routing.Rejected, true
	}
	out.Err = fmt.Errorf("engine: answered %d", resp.Status)
	return out
}

// ReleaseMessage implements engine.Dialect.
func (Engines) ReleaseMessage(s *engine.Endpoint, id string) []byte {
	b := append(make([]byte, 0, 96), "DELETE "+pathState...)
	b = append(append(b, id...), " HTTP/1.1\r\n"...)
	return append(http1.AppendField(b, "Host", s.Address), "\r\n"...)
}

// ReleaseAccepted implements engine.Dialect.
func (Engines) ReleaseAccepted(status int) bool { return status/100 == 2 }
