package audit

import (
	"strings"

	"github.com/rogpeppe/go-internal/diff"
)

// Difference returns the lines that differ between two texts, with "-" or "+" in front.
func Difference(before, after []byte) []string {
	var lines []string
	for i, line := range strings.Split(string(diff.Diff("before", before, "after", after)), "\n") {
		heading := i < 3 // the command line and the names of both texts
		if !heading && (strings.HasPrefix(line, "+") || strings.HasPrefix(line, "-")) {
			lines = append(lines, line)
		}
	}
	return lines
}
