package docfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fuchsiahub.example/fuchsiahub/internal/document"
	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// maxDocumentBytes is the largest value of the object API.
const maxDocumentBytes = 1 << 20

const remedy = "correct the line; docs/operators/document.md lists every key"

func decode(source string, text []byte, into any) error {
	if len(text) > maxDocumentBytes {
		return fault.New(fault.Invalid, "split the service or shorten the document", "%s: document is larger than 1 MiB", source)
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fault.New(fault.Invalid, remedy, "%s:%d: unknown key %q", source, line, strings.Join(first.Key(), "."))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return fault.New(fault.Invalid, remedy, "%s:%d: key %q: %s", source, line, strings.Join(syntax.Key(), "."), syntax.Error())
	}
	return fault.Wrap(err, fault.Invalid, remedy, "%s", source)
}

// duration is a length of time with its unit, such as "250ms".
type duration time.Duration

// UnmarshalText reads a duration.
func (d *duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`duration %q is not valid; write a number with its unit, such as "250ms"`, text)
	}
	*d = duration(value)
	return nil
}

type priority document.Priority

var priorities = map[string]document.Priority{"low": document.Low, "normal": document.Normal, "high": document.High}

// UnmarshalText reads a priority.
func (p *priority) UnmarshalText(text []byte) error {
	value, ok := priorities[string(text)]
	if !ok {
		return fmt.Errorf(`priority %q is not known; use "low", "normal" or "high"`, text)
	}
	*p = priority(value)
	return nil
}
