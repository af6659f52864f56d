package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"brackenbend/internal/api"
	"brackenbend/internal/engine"
	"brackenbend/internal/gateway"
	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// ClientProtocol implements the platform's protocol between clients and a node. Its fields must be set before its first
// use.
type ClientProtocol struct {
	Classes        []routing.Class
	Tenants        []string
	NotReadyReason func() string // why the node must get no clients; "" = it is ready
}

var _ gateway.ClientProtocol = (*ClientProtocol)(nil)

// RespondDirectly implements gateway.ClientProtocol.
func (c *ClientProtocol) RespondDirectly(req *http1.Request) *gateway.Response {
	switch path := req.Path(); {
	case path == pathHealth && (req.Method == http.MethodGet || req.Method == http.MethodHead):
		return c.respondHealth(req.Method)
	case path != api.PathChat:
		return errorResponse(invalidRequest(http.StatusNotFound, "nothing is served at this path"))
	case req.Method != http.MethodPost:
		return errorResponse(invalidRequest(http.StatusMethodNotAllowed, "use POST"))
	case req.ProtoMinor == 0:
		return errorResponse(invalidRequest(http.StatusHTTPVersionNotSupported,
			"HTTP/1.1 is spoken here: a stream's end could not be told from a break"))
	}
	return nil
}

// respondHealth returns the response to a health check.
func (c *ClientProtocol) respondHealth(method string) *gateway.Response {
	if reason := c.NotReadyReason(); reason != "" {
		return errorResponse(&api.Error{Status: http.StatusServiceUnavailable, Type: "server_error", Message: reason})
	}
	if method == http.MethodHead {
		return &gateway.Response{Status: http.StatusOK}
	}
	return &gateway.Response{Status: http.StatusOK, Body: []byte("{\"status\":\"ready\"}\n")}
}

// ParseRequest implements gateway.ClientProtocol. It rejects a request whose header fields are invalid or whose body is
// not a JSON object.
func (c *ClientProtocol) ParseRequest(req *http1.Request, body []byte) (*gateway.ParsedRequest, *api.Error) {
	fields, apiErr := parseFields(req.Header)
	if apiErr != nil {
		return nil, apiErr
	}
	parsed := &gateway.ParsedRequest{
		ClientID:       fields.get(headerRequestID),
		Path:           req.Target,
		IdempotencyKey: fields.get(engine.HeaderIdempotencyKey),
		Bodies:         rawBody(body),
	}
	if !validRequestID(parsed.ClientID) {
		return nil, invalidRequest(http.StatusBadRequest,
			"%s must be 1 to %d letters, digits, dots, dashes and underscores", headerRequestID, maxRequestIDBytes)
	}
	if apiErr := c.parseClassAndTenant(&parsed.Routing, fields); apiErr != nil {
		return nil, apiErr
	}
	if parsed.FirstTokenTimeout, apiErr = parseDeadline(fields.get(headerDeadline)); apiErr != nil {
		return nil, apiErr
	}
	if session := fields.get(headerSession); session != "" {
		parsed.Routing.Session = routingKey(session)
	}
	if apiErr := parseRetry(&parsed.Routing, fields.get(headerRetry)); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := parseHints(&parsed.Routing, fields.get(headerHints)); apiErr != nil {
		return nil, apiErr
	}
	if !json.Valid(body) || !gjson.ParseBytes(body).IsObject() {
		return nil, invalidRequest(http.StatusBadRequest, "the body is not a JSON object")
	}
	return parsed, nil
}

// requestFields holds the header fields that describe a request, by lower-case name.
type requestFields map[string]string

func (f requestFields) get(name string) string { return f[strings.ToLower(name)] }

// parseFields collects the header fields that describe a request. It rejects a field that is given twice.
func parseFields(header http1.Header) (requestFields, *api.Error) {
	fields := requestFields{}
	for _, field := range header {
		name := strings.ToLower(field.Name)
		isRequestField := strings.HasPrefix(name, strings.ToLower(headerPrefix))
		if !isRequestField && name != strings.ToLower(engine.HeaderIdempotencyKey) {
			continue
		}
		if _, duplicate := fields[name]; duplicate {
			return nil, invalidRequest(http.StatusBadRequest, "%s is given twice", field.Name)
		}
		fields[name] = field.Value
	}
	return fields, nil
}

// parseClassAndTenant sets the class and the tenant of a request.
func (c *ClientProtocol) parseClassAndTenant(request *routing.Request, fields requestFields) *api.Error {
	class, tenant := fields.get(headerClass), fields.get(headerTenant)
	request.Class = slices.IndexFunc(c.Classes, func(k routing.Class) bool { return k.Name == class })
	if request.Class < 0 {
		return invalidRequest(http.StatusBadRequest, "%s %.64q is no class", headerClass, class)
	}
	request.Tenant = slices.Index(c.Tenants, tenant)
	if request.Tenant < 0 && (len(c.Tenants) > 0 || tenant != "") {
		return invalidRequest(http.StatusBadRequest, "%s %.64q is no tenant", headerTenant, tenant)
	}
	return nil
}

// parseDeadline parses the time, in milliseconds, that the client waits for the first token.
func parseDeadline(value string) (time.Duration, *api.Error) {
	milliseconds, err := strconv.ParseUint(value, 10, 32)
	deadline := time.Duration(milliseconds) * time.Millisecond
	if err != nil || deadline == 0 || deadline > maxDeadline {
		return 0, invalidRequest(http.StatusBadRequest,
			"%s must be a whole number of milliseconds, it is %.64q", headerDeadline, value)
	}
	return deadline, nil
}

// parseRetry parses the field that marks a retried request or a resumed stream.
func parseRetry(request *routing.Request, value string) *api.Error {
	switch value {
	case "", retryNone:
	case retryRequest:
		request.Retry = true
	case retryStream:
		request.ResumedStream = true
	default:
		return invalidRequest(http.StatusBadRequest, "%s must be 1 or again, it is %.64q", headerRetry, value)
	}
	return nil
}

// parseHints parses the hints on a request's prompt and output, such as "prefix=5c0f,prompt_len=5120,...". It ignores
// unknown names.
func parseHints(request *routing.Request, value string) *api.Error {
	hintNames := map[string]bool{}
	for hint := range strings.SplitSeq(value, ",") {
		hint = strings.TrimSpace(hint)
		if hint == "" {
			continue
		}
		name, text, hasValue := strings.Cut(hint, "=")
		if !hasValue || hintNames[name] {
			return invalidRequest(http.StatusBadRequest, "%s: %.64q is given twice or has no value", headerHints, hint)
		}
		hintNames[name] = true
		if apiErr := parseHint(request, name, text); apiErr != nil {
			return apiErr
		}
	}
	if !hintNames["prompt_len"] || !hintNames["max_out"] {
		return invalidRequest(http.StatusBadRequest, "%s must give prompt_len and max_out", headerHints)
	}
	return nil
}

func parseHint(request *routing.Request, name, text string) *api.Error {
	var tokens *float64
	switch name {
	case "prefix":
		if text != "" {
			request.Prefix = routingKey(text)
		}
		return nil
	case "prompt_len":
		tokens = &request.PromptTokens
	case "prefix_len":
		tokens = &request.PrefixTokens
	case "max_out":
		tokens = &request.MaxOutputTokens
	default:
		return nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > maxTokens {
		return invalidRequest(http.StatusBadRequest,
			"%s: %s must be a number of tokens, it is %.64q", headerHints, name, text)
	}
	*tokens = n
	return nil
}

// routingKey hashes the name of a session or a prefix to its routing key. It never returns 0, which stands for no
// session or prefix.
func routingKey(name string) uint64 { return max(xxhash.Sum64String(name), 1) }

// validRequestID reports whether an id can be used in a path and a header field without escaping.
func validRequestID(id string) bool {
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return false
		}
	}
	return id != "" && len(id) <= maxRequestIDBytes
}

func isIDByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// rawBody is a request body that is sent to prefill and decode endpoints unchanged.
type rawBody []byte

func (p rawBody) PrefillBody() []byte                     { return p }
func (p rawBody) DecodeBody(json.RawMessage, bool) []byte { return p }

func invalidRequest(status int, format string, args ...any) *api.Error {
	return &api.Error{Status: status, Type: "invalid_request_error", Message: fmt.Sprintf(format, args...)}
}

func errorResponse(e *api.Error) *gateway.Response {
	return &gateway.Response{Status: e.Status, Body: e.JSON()}
}
