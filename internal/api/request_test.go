package api

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestParseNamesInvalidField(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"x"}]`
	for body, param := range map[string]string{
		`[1]`:                "",
		`null`:               "",
		`{` + messages + `}`: "model",
		`{"model":"m"}`:      "messages",
		`{"model":"m","messages":[{"content":"x"}]}`:                        "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":7}]}`:            "messages[0].content",
		`{"model":"m","stream":"yes",` + messages + `}`:                     "stream",
		`{"model":"m","max_tokens":0,` + messages + `}`:                     "max_tokens",
		`{"model":"m","max_tokens":1e99,` + messages + `}`:                  "max_tokens",
		`{"model":"m","max_tokens":1.5,` + messages + `}`:                   "max_tokens",
		`{"model":7,` + messages + `}`:                                      "model",
		`{"model":"m","model":"n",` + messages + `}`:                        "model",
		`{"model":"m","messages":[{"role":"user","content":[{"text":1}]}]}`: "messages[0].content",
		`{"model":"m","messages":["x"]}`:                                    "messages[0]",
		`{"model":"m","messages":{"role":"user"}}`:                          "messages",
		`{"model":"m",`: "",
		`{"model":"m","x":` + strings.Repeat("[", 1<<20) + `}`: "",
	} {
		_, err := Parse(PathChat, []byte(body))
		if err == nil || err.Status != 400 || err.Param != param {
			t.Errorf("%.100s: %+v", body, err)
		}
	}
}

func TestParsePrompt(t *testing.T) {
	parse := func(prompt string) (*Request, *Error) {
		return Parse(PathCompletions, []byte(`{"model":"m","prompt":`+prompt+`}`))
	}
	for _, prompt := range []string{`["a","b"]`, `[]`, `[1,"a"]`, `[1.5]`, `{}`, `7`, `[[1],[2]]`} {
		if _, err := parse(prompt); err == nil || err.Param != "prompt" {
			t.Errorf("prompt %s: %v", prompt, err)
		}
	}
	if r, err := parse(`[1,2,3]`); err != nil || r.EstimateTokens(4) != 3 {
		t.Errorf("prompt of token IDs: %v", err)
	}
}

func unmarshalObject(t *testing.T, b []byte) map[string]any {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestPrefillAndDecodeBodies(t *testing.T) {
	r, err := Parse(PathChat, []byte(`{"model":"m","max_completion_tokens":50,"stream":true,
		"stream_options":{"include_usage":true},"temperature":0.25,
		"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	prefill := unmarshalObject(t, r.PrefillBody())
	if prefill["max_completion_tokens"] != 1.0 || prefill["stream"] != false || prefill["stream_options"] != nil ||
		prefill["temperature"] != 0.25 {
		t.Errorf("prefill: %v", prefill)
	}
	kv := prefill["kv_transfer_params"].(map[string]any)
	if kv["do_remote_decode"] != true || kv["do_remote_prefill"] != false {
		t.Errorf("prefill: %v", kv)
	}
	decode := unmarshalObject(t, r.DecodeBody(json.RawMessage(`{"remote_port":5}`), false))
	kv = decode["kv_transfer_params"].(map[string]any)
	if decode["max_completion_tokens"] != 50.0 || decode["stream"] != true || kv["remote_port"] != 5.0 ||
		decode["stream_options"] == nil {
		t.Errorf("decode: %v", decode)
	}
	if _, has := unmarshalObject(t, r.DecodeBody(nil, true))["kv_transfer_params"]; has {
		t.Error("the body of a request without a prefill has transfer parameters")
	}
}

func TestParsePrefillReply(t *testing.T) {
	reply, err := ParsePrefillReply([]byte(
		`{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":12}}}`))
	if err != nil || string(reply.KVTransferParams) != `{"a":1}` || reply.CachedTokens != 12 {
		t.Errorf("%+v %v", reply, err)
	}
	reply, err = ParsePrefillReply([]byte(`{"kv_transfer_params":null,"usage":{"prompt_tokens_details":null}}`))
	if err != nil || reply.KVTransferParams != nil {
		t.Errorf("%+v %v", reply, err)
	}
	if _, err := ParsePrefillReply([]byte(strings.Repeat(`{"a":`, 1<<20))); err == nil {
		t.Error("a reply nested a million levels deep was accepted")
	}
}
