package docfile

import (
	"fmt"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/tomlfile"
)

const remedy = "correct the line; docs/operators/document.md lists every key"

func decode(source string, text []byte, into any) error {
	return tomlfile.Decode(source, text, remedy, into)
}

type duration = tomlfile.Duration

type priority document.Priority

var priorities = map[string]document.Priority{"low": document.Low, "normal": document.Normal, "high": document.High}

// UnmarshalText parses a priority.
func (p *priority) UnmarshalText(text []byte) error {
	value, ok := priorities[string(text)]
	if !ok {
		return fmt.Errorf(`priority %q is not known; use "low", "normal" or "high"`, text)
	}
	*p = priority(value)
	return nil
}
