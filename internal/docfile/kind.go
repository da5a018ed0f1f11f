package docfile

import (
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Kind says what a text is.
type Kind string

// Kinds of texts.
const (
	ServiceDocument  Kind = "service document"
	FleetDocument    Kind = "fleet document"
	BackendsDocument Kind = "list of backend servers"
	SettingsFile     Kind = "settings file"
)

// KindOf tells what a text is by its first keys. The source appears in errors.
func KindOf(source string, text []byte) (Kind, error) {
	var keys map[string]any
	if err := decode(source, text, &keys); err != nil {
		return "", err
	}
	for _, known := range []struct {
		key  string
		kind Kind
	}{{"service", ServiceDocument}, {"fleet", FleetDocument}, {"instance", SettingsFile}, {"server", BackendsDocument}} {
		if _, ok := keys[known.key]; ok {
			return known.kind, nil
		}
	}
	return "", fault.New(fault.Invalid, `begin a service document with "service", a fleet document with "fleet", a settings file with "instance"`,
		"%s: the text is no document and no settings file", source)
}
