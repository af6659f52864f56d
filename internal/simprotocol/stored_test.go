package simprotocol

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/golden"
)

// TestSettingsParsing: the keys of the settings text are a protocol's. What comes of recorded texts was recorded before
// the code was renamed and is not updated meanwhile.
func TestSettingsParsing(t *testing.T) {
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
		// the middle of encoding/json's own text names Go types; what it says of the form stands at its begin and end
		fmt.Fprintf(&got, "%s\n  error %s\n", text, formOnly(err))
	}
	golden.Check(t, "settings.txt", got.String())
}

// formOnly leaves out the names of Go structs and fields that encoding/json puts into its texts.
func formOnly(err error) string {
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
