package simenv

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/google/go-jsonnet"
)

// DecodeJsonnet evaluates Jsonnet and decodes the result into a value. Imports are resolved relative to the directory of
// name, which also stands for the file in errors. Fields match regardless of case and underscores, and an unknown field is an
// error. Durations are strings such as "1.5s" or numbers of nanoseconds.
func DecodeJsonnet(name, snippet string, into any) error {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(name)}})
	document, err := vm.EvaluateAnonymousSnippet(name, snippet)
	if err != nil {
		return fmt.Errorf("%s: %s", name, strings.TrimSpace(err.Error()))
	}
	var tree any
	if err := json.Unmarshal([]byte(document), &tree); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: into, ErrorUnused: true, DecodeHook: decodeDuration,
		MatchName: func(key, field string) bool { return strings.EqualFold(strings.ReplaceAll(key, "_", ""), field) }})
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := decoder.Decode(tree); err != nil {
		return fmt.Errorf("%s: %s", name, strings.Join(strings.Fields(err.Error()), " "))
	}
	return nil
}

// decodeDuration is a decode hook that parses strings into duration types.
func decodeDuration(from, to reflect.Type, value any) (any, error) {
	if from.Kind() != reflect.String || to.Kind() != reflect.Int64 || !reflect.TypeFor[time.Duration]().ConvertibleTo(to) {
		return value, nil
	}
	duration, err := time.ParseDuration(value.(string))
	if err != nil || duration < 0 {
		return nil, fmt.Errorf("%q is not a duration such as \"200ms\"", value)
	}
	return int64(duration), nil
}
