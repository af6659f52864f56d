package api

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

func TestParseNamesWhatIsWrong(t *testing.T) {
	for body, param := range map[string]string{
		`[1]`:  "",
		`null`: "",
		`{"messages":[{"role":"user","content":"x"}]}`: "model",
		`{"model":"m"}`: "messages",
		`{"model":"m","messages":[{"content":"x"}]}`:                                 "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":7}]}`:                     "messages[0].content",
		`{"model":"m","stream":"yes","messages":[{"role":"user","content":"x"}]}`:    "stream",
		`{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`:    "max_tokens",
		`{"model":"m","max_tokens":1e99,"messages":[{"role":"user","content":"x"}]}`: "max_tokens",
		`{"model":"m","max_tokens":1.5,"messages":[{"role":"user","content":"x"}]}`:  "max_tokens",
		`{"model":7,"messages":[{"role":"user","content":"x"}]}`:                     "model",
		`{"model":"m","model":"n","messages":[{"role":"user","content":"x"}]}`:       "model",
		`{"model":"m","messages":[{"role":"user","content":[{"text":1}]}]}`:          "messages[0].content",
		`{"model":"m","messages":["x"]}`:                                             "messages[0]",
		`{"model":"m","messages":{"role":"user"}}`:                                   "messages",
		`{"model":"m",`: "",
		`{"model":"m","x":` + strings.Repeat("[", 1<<20) + `}`: "",
	} {
		_, err := Parse(PathChat, []byte(body))
		if err == nil || err.Status != 400 || err.Param != param {
			t.Errorf("%s: %+v", body, err)
		}
	}
	if _, err := Parse(PathCompletions, []byte(`{"model":"m","prompt":["a","b"]}`)); err == nil || err.Param != "prompt" {
		t.Errorf("a batch: %v", err)
	}
	for _, p := range []string{`[]`, `[1,"a"]`, `[1.5]`, `{}`, `7`, `[[1],[2]]`} {
		if _, err := Parse(PathCompletions, []byte(`{"model":"m","prompt":`+p+`}`)); err == nil || err.Param != "prompt" {
			t.Errorf("prompt %s: %v", p, err)
		}
	}
	if _, err := ParsePrefillReply([]byte(strings.Repeat(`{"a":`, 1<<20))); err == nil {
		t.Error("a reader's answer nested a million deep was taken")
	}
	if r, err := Parse(PathCompletions, []byte(`{"model":"m","prompt":[1,2,3]}`)); err != nil || r.EstimateTokens(4) != 3 {
		t.Errorf("token numbers: %v", err)
	}
}

func fields(t *testing.T, b []byte) map[string]any {
	t.Helper()
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestBodiesForTheTwoStages(t *testing.T) {
	r, err := Parse(PathChat, []byte(`{"model":"m","max_completion_tokens":50,"stream":true,"stream_options":{"include_usage":true},
		"temperature":0.25,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	read := fields(t, r.PrefillBody())
	if read["max_completion_tokens"] != 1.0 || read["stream"] != false || read["stream_options"] != nil || read["temperature"] != 0.25 {
		t.Errorf("read: %v", read)
	}
	if kv := read["kv_transfer_params"].(map[string]any); kv["do_remote_decode"] != true || kv["do_remote_prefill"] != false {
		t.Errorf("read: %v", kv)
	}
	write := fields(t, r.DecodeBody(json.RawMessage(`{"remote_port":5}`), false))
	if write["max_completion_tokens"] != 50.0 || write["stream"] != true || write["kv_transfer_params"].(map[string]any)["remote_port"] != 5.0 ||
		write["stream_options"] == nil {
		t.Errorf("write: %v", write)
	}
	if _, has := fields(t, r.DecodeBody(nil, true))["kv_transfer_params"]; has {
		t.Error("a whole request carries transfer parameters")
	}
	reply, rerr := ParsePrefillReply([]byte(`{"kv_transfer_params":{"a":1},"usage":{"prompt_tokens_details":{"cached_tokens":12}}}`))
	if rerr != nil || string(reply.KVTransferParams) != `{"a":1}` || reply.CachedTokens != 12 {
		t.Errorf("%+v %v", reply, rerr)
	}
	if reply, rerr = ParsePrefillReply([]byte(`{"kv_transfer_params":null,"usage":{"prompt_tokens_details":null}}`)); rerr != nil || reply.KVTransferParams != nil {
		t.Errorf("%+v %v", reply, rerr)
	}
}

func TestWholeAnswerFromEvents(t *testing.T) {
	w := NewCollector(true, 1<<16)
	for _, ev := range []string{
		`{"id":"c1","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"content":"Hel"}},{"index":1,"delta":{"content":"x"}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"content":"lo","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"c1","choices":[],"usage":{"total_tokens":9}}`,
	} {
		if err := w.Add([]byte(ev)); err != nil {
			t.Fatal(err)
		}
	}
	b, err := w.JSON()
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Object  string
		Choices []struct {
			Message struct {
				Role, Content string
				ToolCalls     []struct {
					ID       string
					Index    *int
					Function struct{ Name, Arguments string }
				} `json:"tool_calls"`
			}
			Finish string `json:"finish_reason"`
		}
		Usage struct {
			Total int `json:"total_tokens"`
		}
	}
	if err := json.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	c := got.Choices[0]
	if got.Object != "chat.completion" || c.Message.Content != "Hello" || c.Finish != "tool_calls" || got.Usage.Total != 9 ||
		c.Message.ToolCalls[0].Function.Arguments != `{"a":1}` || c.Message.ToolCalls[0].ID != "t" || c.Message.ToolCalls[0].Index != nil ||
		got.Choices[1].Message.Role != "assistant" {
		t.Errorf("%s", b)
	}
	small := NewCollector(true, 10)
	if err := small.Add([]byte(`{"choices":[]}`)); err != ErrTooLarge {
		t.Errorf("over the limit: %v", err)
	}
	if err := NewCollector(false, 100).Add([]byte(`{"choices":[{"index":1e9}]}`)); err == nil {
		t.Error("an index of 1e9 was taken")
	}
}

func TestClassify(t *testing.T) {
	c := Classifier{
		Classes:      []Rule{{Match{From: FromHeader, Name: "X-Class", Equals: "order"}, 1}, {Match{From: FromModel, Prefix: "big"}, 2}},
		Tenants:      []Rule{{Match{From: FromAPIKey, Equals: "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"}, 3}},
		DefaultClass: 0, DefaultTenant: -1,
		Sessions: []Key{{From: FromHeader, Name: "X-Session"}, {From: FromFirstMessage}},
		Prefixes: []Key{{From: FromSystemMessages}, {From: FromOpening, Bytes: 4}},
		Models:   []Model{{Name: "m", BytesPerToken: 4, MaxOutput: 99}},
	}
	h := http1.Header{{Name: "x-class", Value: "order"}, {Name: "Authorization", Value: "Bearer a"}}
	parse := func(msgs string) *Request {
		r, err := Parse(PathChat, []byte(`{"model":"m","messages":`+msgs+`}`))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	one := parse(`[{"role":"system","content":"` + strings.Repeat("s", 394) + `"},{"role":"user","content":"a"}]`)
	two := parse(`[{"role":"system","content":"` + strings.Repeat("s", 394) + `"},{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]`)
	other := parse(`[{"role":"system","content":"` + strings.Repeat("s", 394) + `"},{"role":"user","content":"z"}]`)
	a, err := c.Classify(one, h)
	if err != nil || a.Class != 1 || a.Tenant != 3 || a.MaxOutputTokens != 99 || a.PrefixTokens != 100 || a.PromptTokens != 102 {
		t.Fatalf("%+v %v", a, err)
	}
	b, _ := c.Classify(two, h)
	z, _ := c.Classify(other, h)
	if b.Session != a.Session || z.Session == a.Session || a.Session == 0 || a.Prefix != z.Prefix || a.Prefix == 0 {
		t.Errorf("sessions %x %x %x, prefixes %x %x", a.Session, b.Session, z.Session, a.Prefix, z.Prefix)
	}
	if _, err := c.Classify(one, nil); err == nil || err.Status != 401 {
		t.Errorf("no key: %v", err)
	}
	one.Model = "none"
	if _, err := c.Classify(one, h); err == nil || err.Code != "model_not_found" {
		t.Errorf("no model: %v", err)
	}
	if d := ClientTimeout(http1.Header{{Name: "x-stainless-read-timeout", Value: "2.5"}, {Name: "X-Stainless-Timeout", Value: "600"}}); d != 2500*time.Millisecond {
		t.Errorf("client's time %v", d)
	}
}

func TestIsRepeat(t *testing.T) {
	for v, want := range map[string]bool{"": false, "0": false, "1": true, "2": true, "10": true, "x": true, "-1": true} {
		if got := IsRetry(http1.Header{{Name: "X-Stainless-Retry-Count", Value: v}}); got != want {
			t.Errorf("%q: %v", v, got)
		}
	}
}
