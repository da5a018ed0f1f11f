package docfile

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against a key of a document that docs/operators/document.md does not explain.
func TestPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/document.md")
	if err != nil {
		t.Fatal(err)
	}
	keys := append(keysOf("", reflect.TypeFor[service]()), keysOf("", reflect.TypeFor[fleet]())...)
	if len(keys) < 30 {
		t.Fatalf("only %d keys were found", len(keys))
	}
	for _, key := range keys {
		if !strings.Contains(string(page), "\n| `"+key+"` |") {
			t.Errorf("the page does not list %s", key)
		}
	}
}

// keysOf returns the dotted keys of the fields of a structure and of the structures in it. A field that is a structure has
// no key of its own.
func keysOf(prefix string, structure reflect.Type) []string {
	var keys []string
	for i := range structure.NumField() {
		field := structure.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, keysOf(prefix+name+".", inner)...)
			continue
		}
		keys = append(keys, prefix+name)
	}
	return keys
}
