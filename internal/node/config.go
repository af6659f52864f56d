// Package node is a front node of the platform: its configuration, its budgets, and its life from start to SIGTERM.
// The protocol is dialect's, the list discovery's; requests are the front's and decisions the module's.
package node

import (
	"brackenbend/internal/node/discovery"
	"brackenbend/internal/simprotocol"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
)

// Config is what a front node is told at its start.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	Cores      float64
	Memory     int64 // bytes; 0 = not told
	Sockets    int   // 0 = not told
	CachedList *discovery.List
	Site       simprotocol.Site
}

// ErrConfig marks errors of the configuration.
var ErrConfig = errors.New("configuration")

// configMost bounds the configuration file.
const configMost = 16 << 20

// Load reads the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY stand in for what it leaves out.
func Load(file string, env func(string) string) (*Config, error) {
	c, err := load(file, env)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrConfig, file, err)
	}
	return c, nil
}

func load(file string, env func(string) string) (*Config, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > configMost {
		return nil, fmt.Errorf("%d bytes, %d at most", info.Size(), configMost)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parse(text, env)
}

func parse(text []byte, env func(string) string) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	or := func(v, name string) string {
		if v == "" {
			return env(name)
		}
		return v
	}
	c := &Config{
		Name: or(f.Name, "LB_NAME"), Listen: or(f.Listen, "LB_LISTEN"), Discovery: or(f.Discovery, "LB_DISCOVERY"),
		Cores: f.Limits.Cores, Memory: int64(f.Limits.MemoryMB * (1 << 20)), Sockets: f.Limits.Sockets,
	}
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.Cores < 0 || c.Memory < 0 || c.Sockets < 0 {
		return nil, errors.New("limits: negative")
	}
	if c.Sockets > 0 && c.Sockets < socketsLeast {
		return nil, fmt.Errorf("limits: sockets: %d, %d at least", c.Sockets, socketsLeast)
	}
	var err error
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.CachedList, err = discovery.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Site, err = simprotocol.ParseSite(f.Settings); err != nil {
		return nil, err
	}
	return c, c.Site.Routing.Validate()
}
