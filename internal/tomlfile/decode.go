package tomlfile

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// MaxBytes is the size limit of a text. It equals the size limit of a value in the object API.
const MaxBytes = 1 << 20

// Decode decodes text into a struct. Errors contain the source, which is the name of the file or object, and the remedy,
// which refers to the list of keys.
func Decode(source string, text []byte, remedy string, into any) error {
	if len(text) > MaxBytes {
		return fault.New(fault.Invalid, "split or shorten the text", "%s: text is larger than 1 MiB", source)
	}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fault.New(fault.Invalid, remedy, "%s:%d: unknown key %q", source, line, excerpt(strings.Join(first.Key(), ".")))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return fault.New(fault.Invalid, remedy, "%s:%d: key %q: %s", source, line,
			excerpt(strings.Join(syntax.Key(), ".")), excerpt(syntax.Error()))
	}
	if len(err.Error()) > maxExcerptBytes {
		err = errors.New(excerpt(err.Error()))
	}
	return fault.Wrap(err, fault.Invalid, remedy, "%s", source)
}

// maxExcerptBytes is the maximum size of a part of the text in an error.
const maxExcerptBytes = 400

// excerpt returns the beginning of a part of the text.
func excerpt(text string) string {
	if len(text) <= maxExcerptBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxExcerptBytes], "") + "..."
}
