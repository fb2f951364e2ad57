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

// Config is the configuration of a call server, which the platform provides as a JSON file.
type Config struct {
	Name          string
	Listen        string
	DiscoveryAddr string // address of the discovery service; "journal" in the file
	Seed          int64
	Limits        Limits
	Snapshot      feed.Snapshot // of service discovery, as of the start; "known" in the file
	Settings      wire.Settings
}

// Limits are the limits of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`     // may be a fraction
	MemoryMB int     `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// maxConfigSize is the largest accepted configuration, in bytes.
const maxConfigSize = 8 << 20

// ConfigError is a fault in a configuration. Its text names the file and the path of the field in it.
type ConfigError struct {
	File string
	Err  error
}

func (e *ConfigError) Error() string { return fmt.Sprintf("configuration file %q: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// Load reads and checks a configuration file. Every error is a *ConfigError.
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
		return nil, errors.New("no path is given: ROUTER_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfigSize {
		return nil, fmt.Errorf("size of %d bytes exceeds the limit of %d", info.Size(), maxConfigSize)
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
		Name          string          `json:"name"`
		Listen        string          `json:"listen"`
		DiscoveryAddr string          `json:"journal"`
		Seed          string          `json:"seed"`
		Limits        Limits          `json:"limits"`
		Snapshot      *feed.Snapshot  `json:"known"`
		Settings      json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("%s: is a JSON %s, must be of type %s", typeErr.Field, typeErr.Value, typeErr.Type)
		}
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	cfg := &Config{Name: file.Name, Listen: file.Listen, DiscoveryAddr: file.DiscoveryAddr, Limits: file.Limits}
	for _, field := range []struct{ path, value string }{{"name", file.Name}, {"listen", file.Listen}, {"journal", file.DiscoveryAddr},
		{"seed", file.Seed}} {
		if field.value == "" {
			return nil, fmt.Errorf("%s: missing", field.path)
		}
	}
	for _, field := range []struct{ path, value string }{{"listen", file.Listen}, {"journal", file.DiscoveryAddr}} {
		if _, _, err := net.SplitHostPort(field.value); err != nil {
			return nil, fmt.Errorf("%s: %w", field.path, err)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %.40q is not a 64-bit hexadecimal number", file.Seed)
	}
	cfg.Seed = int64(seed)
	if err := cfg.Limits.check(); err != nil {
		return nil, err
	}
	if file.Snapshot == nil {
		return nil, errors.New("known: missing")
	}
	cfg.Snapshot = *file.Snapshot
	for i := range cfg.Snapshot.Entries {
		if err := cfg.Snapshot.Entries[i].Validate(); err != nil {
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
		return fmt.Errorf("limits.cores: %v, must be positive", l.Cores)
	case l.MemoryMB < 16:
		return fmt.Errorf("limits.memory_mb: %d, must be at least 16", l.MemoryMB)
	case l.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d, must be at least 64", l.Sockets)
	}
	return nil
}

// reservedDescriptors is the number of file descriptors kept for the process itself: standard streams, the poller, the
// listener, the old and new connection to the discovery service, a file that is read, and connections that are being
// accepted or closed.
const reservedDescriptors = 24

// openBytesDivisor gives the part of the memory that calls without a final answer may take, and that bytes may take which peers
// leave unread.
const openBytesDivisor = 8

// serverConfig returns the configuration of the callserver.Server. Of the free descriptors, callers get 5/9: the platform
// specifies that they use no more than a third, but they may need more. Offices get a third, and the ninth that is left is for
// connections above that share: additional ones, and those of calls that wait for a connection.
func (c *Config) serverConfig() callserver.Config {
	free := c.Limits.Sockets - reservedDescriptors
	return callserver.Config{Settings: c.Settings.Settings, Seed: c.Seed, MaxOpenCalls: c.Settings.MaxOpen,
		MaxOpenBytes: c.Limits.MemoryMB << 20 / openBytesDivisor, ConnectTimeout: time.Duration(c.Settings.ConnectTimeout), MaxCallerConns: free * 5 / 9, MaxOfficeConns: free / 3}
}
