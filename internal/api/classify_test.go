package api

import (
	"strings"
	"testing"
	"time"

	"brackenbend/internal/http1"
)

func TestClassify(t *testing.T) {
	c := Classifier{
		Classes: []Rule{
			{Match{Source: FromHeader, Name: "X-Class", Equals: "order"}, 1},
			{Match{Source: FromModel, Prefix: "big"}, 2},
		},
		Tenants: []Rule{{Match{
			Source: FromAPIKey, Equals: "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb",
		}, 3}},
		DefaultClass: 0, DefaultTenant: -1,
		Sessions: []AffinityKey{{Source: FromHeader, Name: "X-Session"}, {Source: FromFirstMessage}},
		Prefixes: []AffinityKey{{Source: FromSystemMessages}, {Source: FromOpening, Bytes: 4}},
		Models:   []Model{{Name: "m", BytesPerToken: 4, MaxOutput: 99}},
	}
	h := http1.Header{{Name: "x-class", Value: "order"}, {Name: "Authorization", Value: "Bearer a"}}
	system := `{"role":"system","content":"` + strings.Repeat("s", 394) + `"},`
	parse := func(turns string) *Request {
		r, err := Parse(PathChat, []byte(`{"model":"m","messages":[`+system+turns+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	first := parse(`{"role":"user","content":"a"}`)
	second := parse(`{"role":"user","content":"a"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}`)
	other := parse(`{"role":"user","content":"z"}`)
	a, err := c.Classify(first, h)
	if err != nil || a.Class != 1 || a.Tenant != 3 || a.MaxOutputTokens != 99 || a.PrefixTokens != 100 ||
		a.PromptTokens != 102 {
		t.Fatalf("%+v %v", a, err)
	}
	b, err := c.Classify(second, h)
	if err != nil {
		t.Fatal(err)
	}
	z, err := c.Classify(other, h)
	if err != nil {
		t.Fatal(err)
	}
	if b.Session != a.Session || z.Session == a.Session || a.Session == 0 || a.Prefix != z.Prefix || a.Prefix == 0 {
		t.Errorf("sessions %x %x %x, prefixes %x %x", a.Session, b.Session, z.Session, a.Prefix, z.Prefix)
	}
	if _, err := c.Classify(first, nil); err == nil || err.Status != 401 {
		t.Errorf("request without an API key: %v", err)
	}
	first.Model = "none"
	if _, err := c.Classify(first, h); err == nil || err.Code != "model_not_found" {
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
