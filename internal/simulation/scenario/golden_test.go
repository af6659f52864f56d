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

// The published schema of scenario files.
func TestSchemaIsUnchanged(t *testing.T) {
	golden.Check(t, "day.xsd", string(config.SchemaOf("day", reflect.TypeFor[Scenario]())))
}

// The text of a scenario with other faults, as a fault search writes it, parses and is written again alike.
func TestWithFaultsTextIsUnchanged(t *testing.T) {
	sc, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	faults := []Fault{
		{At: time.Second, What: "crash", Kind: "decode", Count: 2, For: 1500 * time.Millisecond},
		{At: 2 * time.Second, What: "fail-class", Class: "order", Part: 0.125, For: time.Second},
		{At: 3 * time.Second, What: "register-late", Late: 250 * time.Millisecond, For: time.Second},
		{At: 4 * time.Second, What: "surge", Factor: 2.5, For: time.Second},
		{At: 5 * time.Second, What: "front-kill"},
	}
	again, text, err := sc.WithFaults(faults, "found by a hunt: -- a note")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "written.xml", string(text))
	read, err := Load(filepath.Join("testdata", "written.xml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, parsed := range []*Scenario{again, read} {
		_, text, err = parsed.WithFaults(parsed.Faults, "found by a hunt: -- a note")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "written-again.xml", string(text))
	}
}

// writeFields writes what was parsed, by the names of elements and attributes.
func writeFields(s *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("cfg"), ",")
		f := v.Field(i)
		switch {
		case name == "" || f.Kind() == reflect.Pointer && f.IsNil():
		case f.Kind() == reflect.Pointer:
			writeFields(s, path+"/"+name, f.Elem())
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				writeFields(s, fmt.Sprintf("%s/%s[%d]", path, name, k), f.Index(k))
			}
		case !f.IsZero():
			fmt.Fprintf(s, "  %s/%s = %v\n", path, name, f.Interface())
		}
	}
}

// The parsed fields of the default scenario, and of scenarios with the elements that it lacks.
func TestParsedFieldsAreUnchanged(t *testing.T) {
	var got strings.Builder
	files := []string{
		"bad.xml", "testdata/written.xml", "../../../scenarios/roles-swing.xml", "../../../scenarios/roles-two.xml",
	}
	for _, file := range files {
		sc, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s\n", filepath.Base(file))
		writeFields(&got, "day", reflect.ValueOf(sc).Elem())
	}
	golden.Check(t, "days.txt", got.String())
}

// Rows of reports are JSON that is read again.
func TestRowJSONIsUnchanged(t *testing.T) {
	r := Row{Service: 0.5, FirstP50: 1.5, FirstP99: 2.5}
	v := reflect.ValueOf(&r.Tally).Elem()
	for i := range v.NumField() { // a value of its own for each key
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("name")
		case reflect.Int:
			f.SetInt(int64(i) + 100)
		case reflect.Float64:
			f.SetFloat(float64(i) + 0.25)
		default: // nothing that is written
		}
	}
	text, err := json.MarshalIndent(struct {
		Rows   []Row    `json:"rows"`
		Course []Second `json:"course"`
	}{[]Row{r}, []Second{{Worth: 1.5, Asked: 2.5}}}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "rows.json", string(text))
	var back struct {
		Rows   []Row    `json:"rows"`
		Course []Second `json:"course"`
	}
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	twice, err := json.MarshalIndent(back, "", " ")
	if err != nil || !slices.Equal(text, twice) {
		t.Errorf("read and written again (%v):\n%s", err, twice)
	}
}
