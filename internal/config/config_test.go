package config

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/golden"
)

const (
	schemaFile  = "../../deploy/brackenbend.xsd"
	exampleFile = "../../deploy/examples/front.xml"
)

func TestExampleIsValid(t *testing.T) {
	s, err := Load(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	routingConfig := s.RoutingConfig()
	if len(routingConfig.Classes) != 3 || routingConfig.Classes[2].DedupWindow != 30*time.Second ||
		routingConfig.Kinds[1].Memory != 180000 ||
		routingConfig.Tenants[0].QuotaPerS != 100 ||
		routingConfig.Replicas != 4 {
		t.Errorf("%+v", routingConfig)
	}
	if err := routingConfig.Validate(); err != nil {
		t.Error(err)
	}
	classifier := s.Classifier()
	if classifier.DefaultClass != 0 || classifier.ClassRules[1].Index != 2 || classifier.TenantRules[0].Index != 1 ||
		len(classifier.SessionKeys) != 2 ||
		classifier.PrefixKeys[1].PrefixBytes != 2048 {
		t.Errorf("%+v", classifier)
	}
}

func TestCommittedSchemaMatchesSettings(t *testing.T) {
	if golden.Updating() {
		if err := os.WriteFile(schemaFile, Schema(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(schemaFile)
	if err != nil || !bytes.Equal(have, Schema()) {
		t.Fatalf("%s does not match the settings structs (%v); run: go test ./internal/config -update", schemaFile, err)
	}
}

// Each case changes the example in one place. The error must have a problem at the line of that place with the expected
// message and fix.
func TestProblemsNameLineAndFix(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, message, fix string }{
		{`drain="20s"`, `drain="20"`, "a time needs its unit", "20ms or 20s"},
		{`drain="20s"`, `drian="20s"`, `no attribute "drian"`, "use one of: admin, answer-margin"},
		{`head="32KiB"`, `head="32"`, "a size needs its unit", "32KiB"},
		{`quota="100/s"`, `quota="100"`, "a rate needs its unit", "100/s"},
		{`memory="250000tokens"`, `memory="250000"`, "number of tokens needs its unit", "250000tokens"},
		{`fronts="4"`, `fronts="four"`, "not a whole number", "such as 4"},
		{`effect="unsafe"`, `effect="once"`, "unknown value", "safe, keyed, unsafe"},
		{`aim="1s"`, `aim="6s"`, "aim 6s is past deadline 5s", "make aim smaller"},
		{` window="30s"`, ``, "effect keyed with a window of 0s", "give window"},
		{`<tenant name="depot"`, `<tenant name="public"`, "stands twice", "the other is on line"},
		{`class="order"/>`, `class="orders"/>`, `"orders" is no class`, "name a <class>"},
		{
			`<rule when="header" name="X-Class" equals="order"`, `<rule when="header" equals="order"`, "with name=", "give name",
		},
		{`<kind name="prefill" role="reader"`, `<kind name="prefill"`, `lacks the attribute "role"`, `role="reader"`},
		{`listen="127.0.0.1:8080"`, `listen="8080"`, "no host and port", "127.0.0.1:8080"},
		{`url="http://127.0.0.1:7000"`, `url="127.0.0.1:7000"`, "not an http or https URL", "http://"},
		{`<engines `, `<engine dialect="vllm"/><engines `, "<engine> may not stand", "use one of: class, engines"},
		{`<log format="json"`, `stray <log format="json"`, "text", "remove it"},
		{`<log format="json"`, `<log level="info" format="json"`, "", ""},
		{`overload-factor="4" tip-after="2s"`, `overload-factor="4"`, "without tip-after", "tip-after="},
		{`cold-from="0.25"`, `cold-from="1.5"`, "cold-from 1.5", "0 to 1"},
		{`bytes="2KiB"`, ``, `from="opening" with bytes=0`, "give bytes"},
		{`<register `, `<register url="http://x:1" namespace="n"/><register `, "stands twice", "keep one"},
		{`bytes-per-token="4"`, `bytes-per-token="-4"`, "not a number of at least 0", "0.25"},
		{`</brackenbend>`, ``, "syntax error", "correct the XML"},
	} {
		if !strings.Contains(string(text), c.old) {
			t.Fatalf("the example does not contain %s", c.old)
		}
		changedText := strings.Replace(string(text), c.old, c.new, 1)
		line := strings.Count(string(text)[:strings.Index(string(text), c.old)], "\n") + 1
		_, err := Parse("f.xml", []byte(changedText))
		var problems Problems
		errors.As(err, &problems)
		found := false
		for _, p := range problems {
			onLine := p.Line == line || c.old == "</brackenbend>"
			for l := line; l > line-3 && !onLine; l-- { // a problem with an attribute has the line of its element
				onLine = p.Line == l && strings.Contains(strings.Split(changedText, "\n")[l-1], "<")
			}
			found = found || strings.Contains(p.Message, c.message) && strings.Contains(p.Fix, c.fix) && onLine
		}
		if c.message == "" {
			c.message, found = "twice", err != nil // any error is accepted
		}
		if !found {
			t.Errorf("%s -> %s: %v", c.old, c.new, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse("f", b)
		if err != nil {
			return
		}
		if err := s.RoutingConfig().Validate(); err != nil {
			t.Fatalf("Parse accepted settings that the router rejects: %v", err)
		}
		s.Classifier()
	})
}
