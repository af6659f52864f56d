package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"brackenbend/internal/api"
	"brackenbend/internal/golden"
)

// writeAttributes writes the values of a settings struct, each with the path of its elements and attribute in a file.
func writeAttributes(s *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		tag, ok := parseTag(v.Type().Field(i))
		if !ok {
			continue
		}
		f, name := v.Field(i), path+"/"+tag.name
		switch {
		case f.Kind() == reflect.Pointer && f.IsNil():
			fmt.Fprintf(s, "  %s: none\n", name)
		case f.Kind() == reflect.Pointer:
			writeAttributes(s, name, f.Elem())
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				writeAttributes(s, fmt.Sprintf("%s[%d]", name, k), f.Index(k))
			}
		default:
			fmt.Fprintf(s, "  %s = %v\n", name, f.Interface())
		}
	}
}

func classifierText(c *api.Classifier) string {
	var s strings.Builder
	rules := func(field string, rs []api.Rule) {
		for _, r := range rs {
			fmt.Fprintf(&s, "  rule for %s %d: when %d name %q equals %q begins %q\n", field, r.Index, r.Match.Source,
				r.Match.HeaderName, r.Match.Equals, r.Match.Prefix)
		}
	}
	keys := func(field string, ks []api.AffinityKey) {
		for _, k := range ks {
			fmt.Fprintf(&s, "  %s: from %d name %q bytes %d\n", field, k.Source, k.HeaderName, k.PrefixBytes)
		}
	}
	rules("class", c.ClassRules)
	rules("tenant", c.TenantRules)
	keys("session", c.SessionKeys)
	keys("prefix", c.PrefixKeys)
	for _, m := range c.Models {
		fmt.Fprintf(&s, "  model %q bytes-per-token %v max-output %d\n", m.Name, m.BytesPerToken, m.MaxOutputTokens)
	}
	fmt.Fprintf(&s, "  default-class %d default-tenant %d\n", c.DefaultClass, c.DefaultTenant)
	return s.String()
}

const (
	fullAPIServer = `<register url="https://h:7000" namespace="n" label-selector="app=e" kind-label="k" cell-label="c" ` +
		`token-file="t" ca-file="ca" cache="list.json"/>`
	minimalAPIServer = `<register url="http://h:7000" namespace="n"/>`
)

// TestSettingsConversion compares the parsed values of every element and attribute, and the configurations of the
// router and the classifier that result from them, with a golden file. Settings files must keep their meaning when Go
// fields are renamed, so the golden file is not updated with such a change.
func TestSettingsConversion(t *testing.T) {
	text, err := os.ReadFile("testdata/full.xml")
	if err != nil {
		t.Fatal(err)
	}
	example, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	full := string(text)
	servers := full[strings.Index(full, "<server "):strings.Index(full, "</brackenbend>")]
	var got strings.Builder
	for _, document := range []struct{ name, text string }{
		{"deploy/examples/front.xml", string(example)},
		{"full.xml", full},
		{"full.xml with a register", strings.Replace(full, servers, fullAPIServer, 1)},
		{"the least", `<brackenbend><front listen="a:1"/><service fronts="1"/>` +
			`<class name="c" effect="safe" aim="1s" deadline="2s"/><kind name="k" role="mixed"/>` +
			`<model name="m" bytes-per-token="4" max-output="1tokens"/>` + minimalAPIServer + `</brackenbend>`},
	} {
		s, err := Parse("f.xml", []byte(document.text))
		if err != nil {
			t.Fatalf("%s: %v", document.name, err)
		}
		fmt.Fprintf(&got, "%s\n", document.name)
		writeAttributes(&got, "", reflect.ValueOf(s).Elem())
		got.WriteString(golden.RoutingConfigText(s.RoutingConfig()))
		got.WriteString(classifierText(s.Classifier()))
	}
	golden.Check(t, "documents.txt", got.String())
}

// TestInvalidSettingsProblems compares the error messages for invalid settings files with a golden file.
func TestInvalidSettingsProblems(t *testing.T) {
	text, err := os.ReadFile("testdata/full.xml")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, replacement := range [][2]string{
		{`seed="7"`, `seed="-7"`},
		{`drain="20s"`, `drain="20"`},
		{`drain="20s"`, `drian="20s"`},
		{`head="3KiB"`, `head="3"`},
		{`quota="100/s"`, `quota="100"`},
		{`memory="250000tokens"`, `memory="9"`},
		{`cancel="true"`, `cancel="yes"`},
		{`effect="unsafe"`, `effect="once"`},
		{`worth="2.5"`, `worth="-1"`},
		{`group="zone" `, `group="town" `},
		{` window="30s"`, ``},
		{`role="mixed"`, ``},
		{`format="console"`, `format="text"`},
		{`default-class="y"`, `default-class="q"`},
		{`default-tenant="u"`, `default-tenant="q"`},
		{`cold-from="0.25"`, `cold-from="1.25"`},
		{`tip-after="2s"`, ``},
		{`<tenant name="u"/>`, `<tenant name="t"/>`},
		{`kind="p"`, `kind="q"`},
		{`address="[::1]:9002"`, `address="here"`},
		{`admin="127.0.0.1:8090"`, `admin="127.0.0.1:8080"`},
		{`begins="u-"`, ``},
		{`name="X-Session-Id"`, ``},
		{` bytes="2KiB"`, ``},
		{`<engines `, `<engine/><engines `},
		{`<server name="s1"`, minimalAPIServer + `<server name="s1"`},
		{`late-worth="0.3"`, `late-worth="3"`},
		{`<brackenbend>`, `<day>`},
		{`</brackenbend>`, ``},
		{`<log `, `text<log `},
		{`<log `, `<log/><log `},
		{`deadline="6s"`, `deadline="0s"`},
		{`max-output="8tokens"`, `max-output="0tokens"`},
		{`fronts="4"`, `fronts="0"`},
		{`aim="3s"`, `aim="30s"`},
	} {
		if !strings.Contains(string(text), replacement[0]) {
			t.Fatalf("full.xml does not contain %s", replacement[0])
		}
		_, err := Parse("f.xml", []byte(strings.Replace(string(text), replacement[0], replacement[1], 1)))
		fmt.Fprintf(&got, "%s -> %s\n  %s\n", replacement[0], replacement[1],
			strings.ReplaceAll(fmt.Sprint(err), "\n", "\n  "))
	}
	golden.Check(t, "errors.txt", got.String())
}
