package api

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/tidwall/gjson"
)

// keepStateForDecode asks a vLLM engine to keep the KV cache state for another engine to fetch (vLLM, disaggregated
// prefill, NIXL connector).
const keepStateForDecode = `{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`

// setting is a field that replaces the client's.
type setting struct{ name, value string }

// PrefillBody is the body for a prefill: one token at most, not streamed, its state kept for another engine.
func (r *Request) PrefillBody() []byte {
	limit := fieldMaxTokens
	if _, ok := r.get(limit); !ok {
		if _, ok := r.get(fieldMaxCompletionTokens); ok {
			limit = fieldMaxCompletionTokens
		}
	}
	settings := []setting{{limit, "1"}, {fieldStream, "false"}, {fieldKVTransferParams, keepStateForDecode}}
	return r.bodyWith(settings, fieldMaxTokens, fieldMaxCompletionTokens, fieldStreamOptions, fieldMinTokens)
}

// DecodeBody is the body for a decode, always streamed. kv is from the prefill's reply, nil for a request that runs
// whole at one engine. usage asks for the token counts at the end, which an answer that is not streamed must have.
func (r *Request) DecodeBody(kv json.RawMessage, usage bool) []byte {
	settings := append(make([]setting, 0, 3), setting{fieldStream, "true"})
	if usage {
		settings = append(settings, setting{fieldStreamOptions, `{"include_usage":true}`})
	}
	if kv != nil {
		settings = append(settings, setting{fieldKVTransferParams, string(kv)})
	}
	return r.bodyWith(settings, fieldKVTransferParams)
}

// bodyWith is the body with some fields set and some dropped. All others are copied byte by byte, in their order.
func (r *Request) bodyWith(settings []setting, drop ...string) []byte {
	size := len("{}")
	for _, f := range r.fields {
		size += len(f.key) + len(f.value) + len(":,")
	}
	for _, s := range settings {
		size += len(s.name) + len(s.value) + len(`"":,`)
	}
	b := append(make([]byte, 0, size), '{')
	for _, f := range r.fields {
		isSet := slices.ContainsFunc(settings, func(s setting) bool { return s.name == f.name })
		if isSet || slices.Contains(drop, f.name) {
			continue
		}
		b = append(append(append(append(b, f.key...), ':'), f.value...), ',')
	}
	for _, s := range settings {
		b = append(append(append(b, '"'), s.name...), '"', ':')
		b = append(append(b, s.value...), ',')
	}
	b[len(b)-1] = '}' // in place of the last comma; at least one field is set
	return b
}

// PrefillReply is what routing needs of an engine's reply to a prefill.
type PrefillReply struct {
	KVTransferParams json.RawMessage // kv_transfer_params, nil if there are none
	CachedTokens     float64         // prompt tokens found in the engine's prefix cache; 0 if unknown
}

// ErrInvalidReply is the error of a reply to a prefill that is not JSON, or nests too deep.
var ErrInvalidReply = errors.New("api: the reader's answer is not JSON")

// ParsePrefillReply parses an engine's reply to a PrefillBody.
func ParsePrefillReply(body []byte) (PrefillReply, error) {
	if nestsTooDeep(body) || !gjson.ValidBytes(body) {
		return PrefillReply{}, ErrInvalidReply
	}
	var reply PrefillReply
	if kv := gjson.GetBytes(body, fieldKVTransferParams); kv.Exists() && kv.Type != gjson.Null {
		reply.KVTransferParams = json.RawMessage(kv.Raw)
	}
	reply.CachedTokens = CachedTokens(body)
	return reply, nil
}

// maxCachedTokens bounds a count that can be right.
const maxCachedTokens = 1e9

// CachedTokens is how many prompt tokens the usage of a reply, or of an event, reports as found in the prefix cache; 0
// if unknown.
func CachedTokens(text []byte) float64 {
	n := gjson.GetBytes(text, "usage.prompt_tokens_details.cached_tokens")
	if n.Type == gjson.Number && n.Num >= 0 && n.Num < maxCachedTokens {
		return n.Num
	}
	return 0
}
