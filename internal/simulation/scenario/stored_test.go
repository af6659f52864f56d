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

// TestDaySchema: the published schema of days. The golden files here were recorded before the renaming and are not updated
// while it goes on.
func TestDaySchema(t *testing.T) {
	golden.Check(t, "day.xsd", string(config.SchemaOf("day", reflect.TypeFor[Scenario]())))
}

// TestDayWritten: the text of a day with other happenings, as a hunt writes it, and that it is read and written again alike.
func TestDayWritten(t *testing.T) {
	d, err := Default()
	if err != nil {
		t.Fatal(err)
	}
	happens := []Fault{
		{At: time.Second, What: "crash", Kind: "decode", Count: 2, For: 1500 * time.Millisecond},
		{At: 2 * time.Second, What: "fail-class", Class: "order", Part: 0.125, For: time.Second},
		{At: 3 * time.Second, What: "register-late", Late: 250 * time.Millisecond, For: time.Second},
		{At: 4 * time.Second, What: "surge", Factor: 2.5, For: time.Second},
		{At: 5 * time.Second, What: "front-kill"},
	}
	again, text, err := d.WithFaults(happens, "found by a hunt: -- a note")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "written.xml", string(text))
	read, err := Load(filepath.Join("testdata", "written.xml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []*Scenario{again, read} {
		_, text, err = x.WithFaults(x.Faults, "found by a hunt: -- a note")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "written-again.xml", string(text))
	}
}

// dayText writes what a document gave, by the names of its elements and attributes.
func dayText(s *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("cfg"), ",")
		f := v.Field(i)
		switch {
		case name == "" || f.Kind() == reflect.Pointer && f.IsNil():
		case f.Kind() == reflect.Pointer:
			dayText(s, path+"/"+name, f.Elem())
		case f.Kind() == reflect.Slice:
			for k := range f.Len() {
				dayText(s, fmt.Sprintf("%s/%s[%d]", path, name, k), f.Index(k))
			}
		case !f.IsZero():
			fmt.Fprintf(s, "  %s/%s = %v\n", path, name, f.Interface())
		}
	}
}

// TestDaysParsing: what is taken of the bad day, and of two days that have what it lacks.
func TestDaysParsing(t *testing.T) {
	var got strings.Builder
	for _, file := range []string{"bad.xml", "testdata/written.xml", "../../../scenarios/roles-swing.xml", "../../../scenarios/roles-two.xml"} {
		d, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s\n", filepath.Base(file))
		dayText(&got, "day", reflect.ValueOf(d).Elem())
	}
	golden.Check(t, "days.txt", got.String())
}

// TestRowBytes: rows of reports, as JSON that is read again.
func TestRowBytes(t *testing.T) {
	r := Row{Service: 0.5, FirstP50: 1.5, FirstP99: 2.5}
	v := reflect.ValueOf(&r.Tally).Elem()
	for i := range v.NumField() { // each key by its place
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("name")
		case reflect.Int:
			f.SetInt(int64(i) + 100)
		case reflect.Float64:
			f.SetFloat(float64(i) + 0.25)
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
