package simprotocol

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
)

// The keys of the settings text belong to the simulator's protocol, and a key that a renamed field no longer matches is
// ignored without an error. testdata/settings.txt holds the parsed values of the recorded texts; renaming a field must
// not change them.
func TestParseSiteMatchesRecordedOutput(t *testing.T) {
	var got strings.Builder
	for _, name := range []string{"settings-full.json", "settings-case.json", "settings-short.json"} {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		site, err := ParseSite(text)
		fmt.Fprintf(&got, "%s: error %v\n%s", name, err, golden.RoutingConfigText(site.Routing))
		fmt.Fprintf(&got, "  Kinds = %q\n  Tenants = %q\n", site.Kinds, site.Tenants)
		fmt.Fprintf(&got, "  Caps.ConnIdle = %v\n  Caps.DialTimeout = %v\n", site.ConnIdleTimeout, site.DialTimeout)
		fmt.Fprintf(&got, "  Caps.MaxOpen = %d\n  Caps.RetryAfter = %t\n", site.MaxOpenRequests, site.RetryAfter)
	}
	for _, text := range []string{
		`[`, `[]`, `{"Zone":"a"}`, `{"Balancers":1.5}`, `{"Caps":{"Cancel":1}}`, `{"Classes":[{"Promise":"1s"}]}`,
		`{"FamilyInfo":{"KindRole":["read","sing"]}}`, `{"Classes":[{"Repeat":"free"},{"Repeat":"often"}]}`,
		`{"Classes":[{"Repeat":"free","Group":"town"}]}`,
	} {
		_, err := ParseSite([]byte(text))
		// The error texts of encoding/json name Go types in the middle; their beginning and end describe the input.
		fmt.Fprintf(&got, "%s\n  error %s\n", text, stripGoTypeNames(err))
	}
	golden.Check(t, "settings.txt", got.String())
}

// stripGoTypeNames replaces the names of Go types and fields in error texts of encoding/json by "...".
func stripGoTypeNames(err error) string {
	if err == nil {
		return "none"
	}
	s := err.Error()
	if a, b := strings.Index(s, "into Go struct field "), strings.Index(s, " of type "); a >= 0 && b > a {
		return s[:a] + "into ..." + s[b:]
	}
	if a := strings.Index(s, "into Go value of type "); a >= 0 {
		return s[:a] + "into ..."
	}
	return s
}
