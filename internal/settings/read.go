package settings

import (
	"os"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
	"fuchsiahub.example/fuchsiahub/internal/tomlfile"
)

const remedy = "correct the line; docs/operators/settings.md lists every key"

// Read decodes and checks settings. It opens no other file, so a claims key in a separate key file stays empty.
func Read(source string, text []byte) (*Daemon, error) {
	var f file
	if err := tomlfile.Decode(source, text, remedy, &f); err != nil {
		return nil, err
	}
	c := &checker{}
	d := c.daemon(f)
	if err := document.ProblemsError(source, c.problems); err != nil {
		return nil, err
	}
	return d, nil
}

// Load reads a settings file, and the claims key from the key file if the settings name one.
func Load(path string) (*Daemon, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "check the path of the settings file", "settings file %q cannot be read", path)
	}
	d, err := Read(path, text)
	if err != nil {
		return nil, err
	}
	if d.Claims.KeyFile != "" {
		d.Claims.Key, err = readKey(path, d.Claims.KeyFile)
	}
	return d, err
}

func readKey(source, path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "check the path in claims.key_file", "%s: claims.key_file: file %q cannot be read", source, path)
	}
	c := &checker{}
	key := c.key("claims.key_file", strings.TrimSpace(string(text)))
	return key, document.ProblemsError(source, c.problems)
}
