package node

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validConfig returns a valid configuration file as decoded JSON.
func validConfig(t *testing.T) map[string]any {
	t.Helper()
	text := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",` +
		`"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":` + settingsWith(time.Second) + `}`
	var config map[string]any
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		t.Fatal(err)
	}
	return config
}

func TestLoadNamesInvalidField(t *testing.T) {
	for _, tc := range []struct {
		want  string // part of the error text; "" = no error
		field string // of the FieldError; "" = none
		edit  func(map[string]any)
	}{
		{"", "", func(map[string]any) {}},
		{"listen", "listen", func(m map[string]any) { delete(m, "listen") }},
		{"discovery", "discovery", func(m map[string]any) { m["discovery"] = "no port" }},
		{"settings", "settings", func(m map[string]any) { delete(m, "settings") }},
		{"Classes", "", func(m map[string]any) { m["settings"].(map[string]any)["Classes"] = nil }},
		{"limits: sockets", "limits: sockets", func(m map[string]any) { m["limits"] = map[string]any{"sockets": 3} }},
		{"limits: negative", "limits", func(m map[string]any) { m["limits"] = map[string]any{"memory_mb": -3} }},
		{"known", "known", func(m map[string]any) { m["known"] = map[string]any{"revision": 1} }},
		{"seed", "seed", func(m map[string]any) { m["seed"] = "not hexadecimal" }},
		{"cannot unmarshal", "", func(m map[string]any) { m["name"] = 7 }},
	} {
		t.Run(tc.want, func(t *testing.T) {
			config := validConfig(t)
			tc.edit(config)
			text, err := json.Marshal(config)
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(t.TempDir(), "c.json")
			if err := os.WriteFile(file, text, 0o600); err != nil {
				t.Fatal(err)
			}
			_, err = Load(file, noEnv)
			if tc.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v", err)
			}
			var fieldErr *FieldError
			if errors.As(err, &fieldErr) != (tc.field != "") || fieldErr != nil && fieldErr.Field != tc.field {
				t.Errorf("field %+v, want %q", fieldErr, tc.field)
			}
		})
	}
}
