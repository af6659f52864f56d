package scenario

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/golden"
)

// The schema of scenario files is published, so it must not change by accident.
func TestSchemaIsUnchanged(t *testing.T) {
	golden.Check(t, "day.xsd", string(config.SchemaOf("day", reflect.TypeFor[Scenario]())))
}

// Guards the text that a fault search writes for a scenario with other faults, and the text that is written once that
// scenario has been parsed. The second text has the note twice, as each call adds one.
func TestWithFaultsTextIsUnchanged(t *testing.T) {
	sc, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	faults := []Fault{
		{At: time.Second, Type: "crash", EngineKind: "decode", Count: 2, Duration: 1500 * time.Millisecond},
		{At: 2 * time.Second, Type: "fail-class", Class: "order", Fraction: 0.125, Duration: time.Second},
		{At: 3 * time.Second, Type: "register-late", EventDelay: 250 * time.Millisecond, Duration: time.Second},
		{At: 4 * time.Second, Type: "surge", Factor: 2.5, Duration: time.Second},
		{At: 5 * time.Second, Type: "front-kill"},
	}
	reparsed, text, err := sc.WithFaults(faults, "found by a hunt: -- a note")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "written.xml", string(text))
	loaded, err := Load(filepath.Join("testdata", "written.xml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, parsed := range []*Scenario{reparsed, loaded} {
		_, text, err = parsed.WithFaults(parsed.Faults, "found by a hunt: -- a note")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "written-again.xml", string(text))
	}
}

// formatFields writes the parsed fields that are not zero, under the names of their elements and attributes.
func formatFields(s *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("cfg"), ",")
		f := v.Field(i)
		switch {
		case name == "" || f.Kind() == reflect.Pointer && f.IsNil():
		case f.Kind() == reflect.Pointer:
			formatFields(s, path+"/"+name, f.Elem())
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				formatFields(s, fmt.Sprintf("%s/%s[%d]", path, name, k), f.Index(k))
			}
		case !f.IsZero():
			fmt.Fprintf(s, "  %s/%s = %v\n", path, name, f.Interface())
		}
	}
}

// Compares the parsed fields of the default scenario, and of scenarios with the elements that it lacks.
func TestParsedFieldsAreUnchanged(t *testing.T) {
	var fields strings.Builder
	files := []string{
		"bad.xml", "testdata/written.xml", "../../../scenarios/roles-swing.xml", "../../../scenarios/roles-two.xml",
	}
	for _, file := range files {
		sc, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&fields, "%s\n", filepath.Base(file))
		formatFields(&fields, "day", reflect.ValueOf(sc).Elem())
	}
	golden.Check(t, "days.txt", fields.String())
}

// Reports contain rows and timelines as JSON that is read again: the keys must stay, and decoding must lose nothing.
func TestRowJSONIsUnchanged(t *testing.T) {
	r := Row{Service: 0.5, FirstTokenP50: 1.5, FirstTokenP99: 2.5}
	v := reflect.ValueOf(&r.Tally).Elem()
	for i := range v.NumField() { // a distinct value for each key
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("name")
		case reflect.Int:
			f.SetInt(int64(i) + 100)
		case reflect.Float64:
			f.SetFloat(float64(i) + 0.25)
		default: // not encoded
		}
	}
	text, err := json.MarshalIndent(struct {
		Rows   []Row          `json:"rows"`
		Course []SecondTotals `json:"course"`
	}{[]Row{r}, []SecondTotals{{ServedWeight: 1.5, RequestedWeight: 2.5}}}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "rows.json", string(text))
	var decoded struct {
		Rows   []Row          `json:"rows"`
		Course []SecondTotals `json:"course"`
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	reencoded, err := json.MarshalIndent(decoded, "", " ")
	if err != nil || !slices.Equal(text, reencoded) {
		t.Errorf("decoded and encoded again (%v):\n%s", err, reencoded)
	}
}
