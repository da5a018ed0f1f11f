package docfile

import (
	"bytes"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"fuchsiahub.example/fuchsiahub/internal/document"
)

var (
	outPattern   = regexp.MustCompile(`(?m)^out[ \t]*=[ \t]*\[[^\]]*\]`)
	fleetPattern = regexp.MustCompile(`(?m)^fleet[ \t]*=.*$`)
)

// SetZonesOut returns the text of a fleet document with the given list of zones that are out of service. It replaces
// the key out, or adds it after the key fleet, and keeps all other text, comments included. When the edited text does not
// decode to the intended document, it encodes the document anew, without comments. Errors contain the source.
func SetZonesOut(source string, text []byte, out []string) ([]byte, error) {
	doc, err := ReadFleet(source, text)
	if err != nil {
		return nil, err
	}
	want := *doc
	want.ZonesOut = out
	edited := replaceOut(text, out)
	if got, err := ReadFleet(source, edited); err == nil && sameFleet(got, &want) {
		return edited, nil
	}
	encoded, err := WriteFleet(&want)
	if err != nil {
		return nil, err
	}
	_, err = ReadFleet(source, encoded)
	return encoded, err
}

func replaceOut(text []byte, out []string) []byte {
	outLine := []byte("out = " + quotedList(out))
	if at := outPattern.FindIndex(text); at != nil {
		return bytes.Join([][]byte{text[:at[0]], outLine, text[at[1]:]}, nil)
	}
	if at := fleetPattern.FindIndex(text); at != nil {
		return bytes.Join([][]byte{text[:at[1]], []byte("\n"), outLine, text[at[1]:]}, nil)
	}
	return text
}

func quotedList(names []string) string {
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = strconv.Quote(name)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func sameFleet(a, b *document.Fleet) bool {
	return a.Name == b.Name && reflect.DeepEqual(a.Regions, b.Regions) && strings.Join(a.ZonesOut, " ") == strings.Join(b.ZonesOut, " ")
}
