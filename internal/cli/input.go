package cli

import (
	"io"
	"os"

	"fuchsiahub.example/fuchsiahub/internal/docfile"
	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/settings"
	"fuchsiahub.example/fuchsiahub/internal/tomlfile"
)

// inputFile is a document or settings file that has been parsed and checked.
type inputFile struct {
	source  string
	kind    docfile.Kind
	value   []byte
	service *document.Service
	fleet   *document.Fleet
	servers []document.Server
}

// readInput reads, parses and checks a file, or standard input if the path is "-".
func (t *tool) readInput(path string) (*inputFile, error) {
	value, err := t.readFile(path)
	if err != nil {
		return nil, err
	}
	input := &inputFile{source: path, value: value}
	if input.kind, err = docfile.KindOf(path, value); err != nil {
		return nil, err
	}
	switch input.kind {
	case docfile.ServiceDocument:
		input.service, err = docfile.ReadService(path, value)
	case docfile.FleetDocument:
		input.fleet, err = docfile.ReadFleet(path, value)
	case docfile.BackendsDocument:
		input.servers, err = docfile.ReadBackends(path, value)
	case docfile.SettingsFile:
		_, err = settings.Read(path, value)
	}
	return input, err
}

func (t *tool) readFile(path string) ([]byte, error) {
	if path == "-" {
		return readBounded(path, t.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "check the path and the permissions of the file", "file %q cannot be read", path)
	}
	defer func() { _ = file.Close() }() // nothing was written
	return readBounded(path, file)
}

// readBounded reads at most one byte more than the size limit of documents, so that the parser refuses larger input.
func readBounded(path string, from io.Reader) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(from, tomlfile.MaxBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "check the path and the permissions of the file", "file %q cannot be read", path)
	}
	return value, nil
}

// checkPlaces checks references to zones and regions against a fleet document.
func (input *inputFile) checkPlaces(fleet *document.Fleet) error {
	switch {
	case input.service != nil:
		return document.ProblemsError(input.source, input.service.CheckLocations(fleet))
	case input.servers != nil:
		return document.ProblemsError(input.source, document.CheckServerZones(input.servers, fleet))
	}
	return nil
}
