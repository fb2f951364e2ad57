package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"finchlatch/callserver"
	"finchlatch/feed"
	"finchlatch/internal/wire"
)

// Config is what the platform tells a call server.
type Config struct {
	Name     string
	Listen   string
	Journal  string
	Seed     int64
	Limits   Limits
	Known    feed.Known
	Settings wire.Settings
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// mostConfig is how long a configuration may be.
const mostConfig = 8 << 20

// ConfigError tells what is wrong with a configuration: the file, and the path of the field in it.
type ConfigError struct {
	File string
	Err  error
}

func (e *ConfigError) Error() string { return fmt.Sprintf("configuration %s: %v", e.File, e.Err) }

// Unwrap gives the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// Load reads and checks a configuration.
func Load(path string) (*Config, error) {
	cfg, err := load(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, &ConfigError{File: path, Err: err}
	}
	return cfg, nil
}

func load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > mostConfig {
		return nil, fmt.Errorf("%d bytes are more than %d", info.Size(), mostConfig)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse reads and checks the bytes of a configuration.
func Parse(raw []byte) (*Config, error) {
	var file struct {
		Name     string          `json:"name"`
		Listen   string          `json:"listen"`
		Journal  string          `json:"journal"`
		Seed     string          `json:"seed"`
		Limits   Limits          `json:"limits"`
		Known    *feed.Known     `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: a %s where a %s belongs", wrong.Field, wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	cfg := &Config{Name: file.Name, Listen: file.Listen, Journal: file.Journal, Limits: file.Limits}
	for _, f := range []struct{ path, value string }{{"name", file.Name}, {"listen", file.Listen}, {"journal", file.Journal},
		{"seed", file.Seed}} {
		if f.value == "" {
			return nil, fmt.Errorf("%s: missing", f.path)
		}
	}
	for _, f := range []struct{ path, value string }{{"listen", file.Listen}, {"journal", file.Journal}} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return nil, fmt.Errorf("%s: %w", f.path, err)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %.40q is not hex digits", file.Seed)
	}
	cfg.Seed = int64(seed)
	if err := cfg.Limits.check(); err != nil {
		return nil, err
	}
	if file.Known == nil {
		return nil, errors.New("known: missing")
	}
	cfg.Known = *file.Known
	for i := range cfg.Known.Entries {
		if err := cfg.Known.Entries[i].Check(); err != nil {
			return nil, fmt.Errorf("known.entries.%d: %w", i, err)
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if cfg.Settings, err = wire.ReadSettings(file.Settings); err != nil {
		return nil, err
	}
	return cfg, nil
}

func (l Limits) check() error {
	switch {
	case !(l.Cores > 0):
		return fmt.Errorf("limits.cores: %v", l.Cores)
	case l.MemoryMB < 16:
		return fmt.Errorf("limits.memory_mb: %d", l.MemoryMB)
	case l.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d", l.Sockets)
	}
	return nil
}

// own are the descriptors that are kept for the process itself: standard streams, the poller, the listener, the
// journal's old and new connection, a file that is read, connections on their way in and out.
const own = 24

// core is what the call server without sockets is made from. Callers may have more than the third of the
// descriptors that they are said to use; offices have the rest.
func (c *Config) core() callserver.Config {
	free := c.Limits.Sockets - own
	return callserver.Config{Settings: c.Settings.Settings, Seed: c.Seed, MaxOpen: c.Settings.MaxOpen,
		ConnectTimeout: time.Duration(c.Settings.ConnectTimeout), Callers: free * 5 / 9, Offices: free / 3}
}
