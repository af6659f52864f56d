package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"brackenbend/internal/node/discovery"
	"brackenbend/internal/simprotocol"
)

// Config is the configuration of a node.
type Config struct {
	Name       string
	Listen     string // host:port
	Discovery  string // host:port
	Seed       uint64
	Cores      float64
	Memory     int64           // bytes; 0 = not set
	Sockets    int             // 0 = not set
	CachedList *discovery.List // endpoint list to start with; nil = none
	Site       simprotocol.Site
}

// Environment variables that supply fields which the configuration file omits.
const (
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envDiscovery = "LB_DISCOVERY"
)

// maxConfigBytes is the largest size of a configuration file. It leaves room for the longest endpoint list that is
// accepted from discovery.
const maxConfigBytes = 16 << 20

// ErrConfig is wrapped by all errors in the configuration.
var ErrConfig = errors.New("configuration")

// FieldError is an error in one field of the configuration file.
type FieldError struct {
	Field string // name in the file, prefixed by the name of its object, as in "limits: sockets"
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

// configFile is the JSON structure of the configuration file.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"` // hexadecimal
	Limits     configLimits    `json:"limits"`
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

type configLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads a configuration file. The environment variables LB_NAME, LB_LISTEN and LB_DISCOVERY supply fields that the
// file omits. All errors wrap ErrConfig.
func Load(file string, env func(string) string) (*Config, error) {
	config, err := load(file, env)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrConfig, file, err)
	}
	return config, nil
}

func load(file string, env func(string) string) (*Config, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("file has %d bytes; at most %d are allowed", info.Size(), maxConfigBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parse(text, env)
}

func parse(text []byte, env func(string) string) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	valueOrEnv := func(value, name string) string {
		if value == "" {
			return env(name)
		}
		return value
	}
	config := &Config{
		Name:      valueOrEnv(file.Name, envName),
		Listen:    valueOrEnv(file.Listen, envListen),
		Discovery: valueOrEnv(file.Discovery, envDiscovery),
		Cores:     file.Limits.Cores,
		Memory:    int64(file.Limits.MemoryMB * (1 << 20)),
		Sockets:   file.Limits.Sockets,
	}
	if err := config.validateAddresses(); err != nil {
		return nil, err
	}
	if err := config.validateLimits(); err != nil {
		return nil, err
	}
	var err error
	if config.Seed, err = parseSeed(file.Seed); err != nil {
		return nil, &FieldError{"seed", err}
	}
	if config.CachedList, err = parseCachedList(file.CachedList); err != nil {
		return nil, &FieldError{"known", err}
	}
	if len(file.Settings) == 0 {
		return nil, &FieldError{"settings", errors.New("missing")}
	}
	if config.Site, err = simprotocol.ParseSite(file.Settings); err != nil {
		return nil, err
	}
	if err := config.Site.Routing.Validate(); err != nil {
		return nil, err
	}
	return config, nil
}

func (c *Config) validateAddresses() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return &FieldError{"listen", err}
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return &FieldError{"discovery", err}
	}
	return nil
}

func (c *Config) validateLimits() error {
	if c.Cores < 0 || c.Memory < 0 || c.Sockets < 0 {
		return &FieldError{"limits", errors.New("negative")}
	}
	if c.Sockets > 0 && c.Sockets < minSockets {
		return &FieldError{"limits: sockets", fmt.Errorf("%d, %d at least", c.Sockets, minSockets)}
	}
	return nil
}

// parseSeed parses a seed in hexadecimal. It returns 0 if none is given.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 16, 64)
}

// parseCachedList parses the endpoint list to start with. It returns nil if none is given.
func parseCachedList(text json.RawMessage) (*discovery.List, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	return discovery.Parse(text)
}
