package api

import (
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

func TestClassify(t *testing.T) {
	classifier := Classifier{
		ClassRules: []Rule{
			{Match{Source: FromHeader, HeaderName: "X-Class", Equals: "order"}, 1},
			{Match{Source: FromModel, Prefix: "big"}, 2},
		},
		TenantRules: []Rule{{Match{
			Source: FromAPIKey, Equals: "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb",
		}, 3}},
		DefaultClass: 0, DefaultTenant: -1,
		SessionKeys: []AffinityKey{{Source: FromHeader, HeaderName: "X-Session"}, {Source: FromFirstMessage}},
		PrefixKeys:  []AffinityKey{{Source: FromSystemMessages}, {Source: FromPromptPrefix, PrefixBytes: 4}},
		Models:      []Model{{Name: "m", BytesPerToken: 4, MaxOutputTokens: 99}},
	}
	header := http1.Header{{Name: "x-class", Value: "order"}, {Name: "Authorization", Value: "Bearer a"}}
	system := `{"role":"system","content":"` + strings.Repeat("s", 394) + `"},`
	parse := func(turns string) *Request {
		r, err := Parse(PathChat, []byte(`{"model":"m","messages":[`+system+turns+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	firstTurn := parse(`{"role":"user","content":"a"}`)
	secondTurn := parse(`{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}`)
	otherSession := parse(`{"role":"user","content":"z"}`)
	firstResult, err := classifier.Classify(firstTurn, header)
	if err != nil || firstResult.Class != 1 || firstResult.Tenant != 3 || firstResult.MaxOutputTokens != 99 ||
		firstResult.PrefixTokens != 100 || firstResult.PromptTokens != 102 {
		t.Fatalf("%+v %v", firstResult, err)
	}
	secondResult, err := classifier.Classify(secondTurn, header)
	if err != nil {
		t.Fatal(err)
	}
	otherResult, err := classifier.Classify(otherSession, header)
	if err != nil {
		t.Fatal(err)
	}
	if secondResult.Session != firstResult.Session || otherResult.Session == firstResult.Session ||
		firstResult.Session == 0 || firstResult.Prefix != otherResult.Prefix || firstResult.Prefix == 0 {
		t.Errorf("sessions %x %x %x, prefixes %x %x", firstResult.Session, secondResult.Session, otherResult.Session,
			firstResult.Prefix, otherResult.Prefix)
	}
	if _, err := classifier.Classify(firstTurn, nil); err == nil || err.Status != 401 {
		t.Errorf("request without an API key: %v", err)
	}
	firstTurn.Model = "none"
	if _, err := classifier.Classify(firstTurn, header); err == nil || err.Code != "model_not_found" {
		t.Errorf("unknown model: %v", err)
	}
}

func TestClientTimeoutIsShortestField(t *testing.T) {
	h := http1.Header{
		{Name: "x-stainless-read-timeout", Value: "2.5"}, {Name: "X-Stainless-Timeout", Value: "600"},
	}
	if timeout := ClientTimeout(h); timeout != 2500*time.Millisecond {
		t.Errorf("%v", timeout)
	}
}

func TestIsRetry(t *testing.T) {
	for v, want := range map[string]bool{
		"": false, "0": false, "1": true, "2": true, "10": true, "x": true, "-1": true,
	} {
		if got := IsRetry(http1.Header{{Name: "X-Stainless-Retry-Count", Value: v}}); got != want {
			t.Errorf("%q: %v", v, got)
		}
	}
}
