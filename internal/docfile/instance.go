package docfile

import (
	"github.com/pelletier/go-toml/v2"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

// instance is the TOML form of document.Instance.
type instance struct {
	Name              string `toml:"instance"`
	Region            string `toml:"region"`
	Zone              string `toml:"zone"`
	PeerAddress       string `toml:"peer_address"`
	OperationsAddress string `toml:"operations_address,omitempty"`
	Incarnation       uint64 `toml:"incarnation,omitempty"`
	Leaving           bool   `toml:"leaving,omitempty"`
}

// ReadInstance decodes and checks an entry of the platform's list of instances. Errors contain the source.
func ReadInstance(source string, text []byte) (*document.Instance, error) {
	var f instance
	if err := decode(source, text, &f); err != nil {
		return nil, err
	}
	doc := document.Instance(f)
	if err := document.ProblemsError(source, doc.Check()); err != nil {
		return nil, err
	}
	return &doc, nil
}

// WriteInstance encodes an entry of the platform's list of instances.
func WriteInstance(doc *document.Instance) ([]byte, error) {
	return toml.Marshal(instance(*doc))
}
