package api

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/tidwall/gjson"
)

// prefillTransferParams is the value of kv_transfer_params that asks a vLLM engine to keep the KV cache state until
// another engine fetches it (disaggregated prefill with the NIXL connector).
const prefillTransferParams = `{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`

// fieldOverride is a field that bodyWith sets in a body for an engine. The value is JSON.
type fieldOverride struct{ name, value string }

// PrefillBody returns the body for a prefill. The response is limited to one token and not streamed, and the engine
// keeps the read state for the decode engine.
func (r *Request) PrefillBody() []byte {
	limitField := fieldMaxTokens
	if _, ok := r.rawField(limitField); !ok {
		if _, ok := r.rawField(fieldMaxCompletionTokens); ok {
			limitField = fieldMaxCompletionTokens
		}
	}
	overrides := []fieldOverride{{limitField, "1"}, {fieldStream, "false"}, {fieldKVTransferParams, prefillTransferParams}}
	return r.bodyWith(overrides, fieldMaxTokens, fieldMaxCompletionTokens, fieldStreamOptions, fieldMinTokens)
}

// DecodeBody returns the body for a decode, which is always streamed. kv holds the transfer parameters of the prefill's
// reply; it is nil for a request that one engine runs as a whole. usage requests the token counts at the end of the
// stream, because a response that is not streamed must contain them.
func (r *Request) DecodeBody(kv json.RawMessage, includeUsage bool) []byte {
	overrides := append(make([]fieldOverride, 0, 3), fieldOverride{fieldStream, "true"})
	if includeUsage {
		overrides = append(overrides, fieldOverride{fieldStreamOptions, `{"include_usage":true}`})
	}
	if kv != nil {
		overrides = append(overrides, fieldOverride{fieldKVTransferParams, string(kv)})
	}
	return r.bodyWith(overrides, fieldKVTransferParams)
}

// bodyWith returns the client's body with the overrides in place of the client's fields of those names, and without the
// fields in omittedNames. All other fields are copied byte for byte, in their order.
func (r *Request) bodyWith(overrides []fieldOverride, omittedNames ...string) []byte {
	size := len("{}")
	for _, f := range r.fields {
		size += len(f.rawName) + len(f.rawValue) + len(":,")
	}
	for _, s := range overrides {
		size += len(s.name) + len(s.value) + len(`"":,`)
	}
	b := append(make([]byte, 0, size), '{')
	for _, f := range r.fields {
		overridden := slices.ContainsFunc(overrides, func(s fieldOverride) bool { return s.name == f.name })
		if overridden || slices.Contains(omittedNames, f.name) {
			continue
		}
		b = append(append(append(append(b, f.rawName...), ':'), f.rawValue...), ',')
	}
	for _, s := range overrides {
		b = append(append(append(b, '"'), s.name...), '"', ':')
		b = append(append(b, s.value...), ',')
	}
	b[len(b)-1] = '}' // replaces the last comma; there is at least one override
	return b
}

// PrefillReply holds the fields that the gateway needs from an engine's reply to a prefill.
type PrefillReply struct {
	KVTransferParams json.RawMessage // kv_transfer_params, nil if there are none
	CachedTokens     float64         // prompt tokens found in the engine's prefix cache; 0 if unknown
}

// ErrInvalidReply is returned for a reply to a prefill that is not valid JSON or is nested too deeply.
var ErrInvalidReply = errors.New("api: the engine's reply to the prefill is not valid JSON")

// ParsePrefillReply parses an engine's reply to a PrefillBody.
func ParsePrefillReply(body []byte) (PrefillReply, error) {
	if !json.Valid(body) {
		return PrefillReply{}, ErrInvalidReply
	}
	var reply PrefillReply
	if kv := gjson.GetBytes(body, fieldKVTransferParams); kv.Exists() && kv.Type != gjson.Null {
		reply.KVTransferParams = json.RawMessage(kv.Raw)
	}
	reply.CachedTokens = CachedTokens(body)
	return reply, nil
}

// maxCachedTokens is an upper bound on plausible counts; counts that reach it are ignored.
const maxCachedTokens = 1e9

// CachedTokens returns the number of prompt tokens found in the prefix cache, from the usage in a reply or an event; 0
// if unknown.
func CachedTokens(text []byte) float64 {
	n := gjson.GetBytes(text, "usage.prompt_tokens_details.cached_tokens")
	if n.Type == gjson.Number && n.Num >= 0 && n.Num < maxCachedTokens {
		return n.Num
	}
	return 0
}
