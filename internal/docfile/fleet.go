package docfile

import (
	"github.com/pelletier/go-toml/v2"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// fleet is the TOML form of document.Fleet.
type fleet struct {
	Fleet   string   `toml:"fleet"`
	Out     []string `toml:"out"`
	Regions []region `toml:"region"`
}

type region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// ReadFleet decodes and checks a fleet document. Errors contain the source.
func ReadFleet(source string, text []byte) (*document.Fleet, error) {
	var f fleet
	if err := decode(source, text, &f); err != nil {
		return nil, err
	}
	doc := &document.Fleet{Name: f.Fleet, ZonesOut: f.Out}
	for _, r := range f.Regions {
		doc.Regions = append(doc.Regions, document.Region(r))
	}
	if err := document.ProblemsError(source, doc.Check()); err != nil {
		return nil, err
	}
	return doc, nil
}

// WriteFleet encodes a fleet document.
func WriteFleet(doc *document.Fleet) ([]byte, error) {
	f := fleet{Fleet: doc.Name, Out: doc.ZonesOut}
	if f.Out == nil {
		f.Out = []string{}
	}
	for _, r := range doc.Regions {
		f.Regions = append(f.Regions, region(r))
	}
	return toml.Marshal(f)
}
