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

// requiredSettings are the paths of the settings without which a call server cannot work.
var requiredSettings = []string{"tick_ns", "instances", "family_info.home_no", "family_info.release_ns", "rules.drain_grace_ns",
	"rules.tip_after_ns", "rules.overload_factor", "rules.cold_from", "rules.cold_ns", "reporting.fields", "limits.max_attempts",
	"limits.connect_timeout_ns", "limits.max_open"}

// requiredClassSettings are the required settings of each class.
var requiredClassSettings = []string{"name", "worth", "late_share", "target_ns", "deadline_ns"}

// Settings are the settings in a configuration file: those of the decision module, which have the names of the fields of a born
// message, and those of the sockets.
type Settings struct {
	logic.Settings
	ConnectTimeout int64 // nanoseconds
	MaxOpen        int   // limit of set-ups in progress
}

// ReadSettings parses settings in the form of nested JSON. Unknown keys are skipped. The error names the path of the first
// setting that is missing or invalid.
func ReadSettings(data []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	msg := &message{name: "settings"}
	if tree != nil {
		msg.flatten("", tree)
	}
	for _, path := range requiredSettings {
		msg.text(path, true)
	}
	if classCount := msg.integer("classes.count", true); classCount < 1 && msg.err == nil {
		msg.err = fmt.Errorf("%s: classes is empty", msg.name)
	} else {
		for i := range classCount {
			for _, key := range requiredClassSettings {
				msg.text("classes."+strconv.FormatInt(i, 10)+"."+key, true)
			}
		}
	}
	settings := Settings{Settings: msg.settings(), ConnectTimeout: msg.integer("limits.connect_timeout_ns", true),
		MaxOpen: int(msg.integer("limits.max_open", true))}
	return settings, msg.err
}

// flatten adds a JSON tree in the form of the fields of the line protocol, whose names are paths with dots. A list becomes a field
// "count" with its length. If all of its values are plain, they also become one field, joined by commas. Objects and lists in it
// have their index in the path, and plain values beside them are left out. So is null in an object; in a list it is an empty text.
func (m *message) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		names := make([]string, 0, len(value))
		for name := range value {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			m.flatten(joinPath(path, name), value[name])
		}
	case []any:
		plain := make([]string, 0, len(value))
		for i, item := range value {
			switch item.(type) {
			case map[string]any, []any:
				m.flatten(joinPath(path, strconv.Itoa(i)), item)
			default:
				plain = append(plain, plainText(item))
			}
		}
		m.fields = append(m.fields, field{joinPath(path, "count"), strconv.Itoa(len(value))})
		if len(plain) == len(value) {
			m.fields = append(m.fields, field{path, strings.Join(plain, ",")})
		}
	case nil:
	default:
		m.fields = append(m.fields, field{path, plainText(value)})
	}
}

// joinPath appends a name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// plainText returns a plain JSON value as text.
func plainText(value any) string {
	switch value := value.(type) {
	case string:
		return value
	case json.Number:
		return value.String()
	case bool:
		return strconv.FormatBool(value)
	}
	return ""
}
