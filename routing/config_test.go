package routing

import (
	"errors"
	"strings"
	"testing"
)

func TestNewNamesTheInvalidField(t *testing.T) {
	tests := []struct {
		field      string
		invalidate func(*Config)
	}{
		{"Classes", func(c *Config) { c.Classes = nil }},
		{"Kinds", func(c *Config) { c.Kinds = nil }},
		{"Kinds[0].Role", func(c *Config) { c.Kinds[0].Role = 9 }},
		{"Kinds[1].Memory", func(c *Config) { c.Kinds[1].Memory = -1 }},
		{"Classes[0]", func(c *Config) { c.Classes[0].LatencyObjective = -1 }},
		{"Classes[1].Effect", func(c *Config) { c.Classes[1].Idempotency = 7 }},
		{"Classes[2].Group", func(c *Config) { c.Classes[2].DedupScope = 7 }},
		{"TipAfter", func(c *Config) { c.OverloadAfter = -1 }},
		{"Fronts", func(c *Config) { c.Replicas = -1 }},
	}
	for _, tc := range tests {
		t.Run(tc.field, func(t *testing.T) {
			config := testConfig()
			tc.invalidate(&config)
			_, err := New(config, 1)
			if err == nil || !strings.Contains(err.Error(), tc.field) {
				t.Errorf("error %v", err)
			}
			var invalid *ConfigError
			if !errors.As(err, &invalid) || !strings.HasPrefix(invalid.Field, tc.field) || invalid.Problem == "" {
				t.Errorf("error %#v", err)
			}
		})
	}
}
