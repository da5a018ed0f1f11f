package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against a settings key that docs/operators/settings.md does not list.
func TestPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	keys := keysOf("", reflect.TypeFor[file]())
	if len(keys) < 20 {
		t.Fatalf("only %d keys were found", len(keys))
	}
	for _, key := range keys {
		if !strings.Contains(string(page), "\n| `"+key+"` |") {
			t.Errorf("the page does not list %s", key)
		}
	}
}

// keysOf returns the dotted keys of all fields that are not tables.
func keysOf(prefix string, structure reflect.Type) []string {
	var keys []string
	for i := range structure.NumField() {
		field := structure.Field(i)
		name := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(name+".", field.Type)...)
			continue
		}
		keys = append(keys, name)
	}
	return keys
}
