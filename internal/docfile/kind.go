package docfile

import (
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// Kind tells documents and settings files apart.
type Kind string

// Kinds of TOML texts that KindOf can return.
const (
	ServiceDocument  Kind = "service document"
	FleetDocument    Kind = "fleet document"
	BackendsDocument Kind = "list of backend servers"
	SettingsFile     Kind = "settings file"
)

// KindOf determines the kind of a text by its top-level keys. Errors contain the source.
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
		"%s: the text is neither a document nor a settings file", source)
}
