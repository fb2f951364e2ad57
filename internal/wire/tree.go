package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"finchlatch/logic"
)

// needed are the settings without which a call server cannot work, by path.
var needed = []string{"tick_ns", "instances", "family_info.home_no", "family_info.release_ns", "rules.drain_grace_ns",
	"rules.tip_after_ns", "rules.overload_factor", "rules.cold_from", "rules.cold_ns", "reporting.fields", "limits.max_attempts",
	"limits.connect_timeout_ns", "limits.max_open"}

// neededOfClass are those of each class.
var neededOfClass = []string{"name", "worth", "late_share", "target_ns", "deadline_ns"}

// Settings are the settings of a configuration file: those of the module, read as the adapter reads its first
// message, and those of the sockets around it.
type Settings struct {
	logic.Settings
	ConnectTimeout int64 // nanoseconds
	MaxOpen        int   // set-ups open at once
}

// ReadSettings reads the start-up settings where they stand in a file as nested JSON. Unknown keys are skipped; a
// missing or wrong one is named by its path.
func ReadSettings(raw []byte) (Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	m := &message{name: "settings"}
	if tree != nil {
		m.flatten("", tree)
	}
	for _, path := range needed {
		m.text(path, true)
	}
	if n := m.integer("classes.count", true); n < 1 && m.err == nil {
		m.err = fmt.Errorf("%s: classes is empty", m.name)
	} else {
		for i := range n {
			for _, key := range neededOfClass {
				m.text("classes."+strconv.FormatInt(i, 10)+"."+key, true)
			}
		}
	}
	s := Settings{Settings: m.settings(), ConnectTimeout: m.integer("limits.connect_timeout_ns", true),
		MaxOpen: int(m.integer("limits.max_open", true))}
	return s, m.err
}

// flatten writes a tree as the fields that the wire would carry: paths with dots, lists of plain values joined by
// commas, lists of objects by count and place.
func (m *message) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			m.flatten(join(path, name), v[name])
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, item := range v {
			switch item.(type) {
			case map[string]any, []any:
				m.flatten(join(path, strconv.Itoa(i)), item)
			default:
				plain = append(plain, text(item))
			}
		}
		m.fields = append(m.fields, field{join(path, "count"), strconv.Itoa(len(v))})
		if len(plain) == len(v) {
			m.fields = append(m.fields, field{path, strings.Join(plain, ",")})
		}
	case nil:
	default:
		m.fields = append(m.fields, field{path, text(v)})
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func text(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	}
	return ""
}
