package tomlfile

import (
	"strings"
	"testing"
)

// Guards against a text of another writer that ends the process by its nesting, or whose error fills the log.
func TestOddTextsAreRefusedWithShortErrors(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 900_000)
	for name, text := range map[string]string{
		"deep list":        "a = " + strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000),
		"open deep list":   "a = " + strings.Repeat("[", 1_000_000),
		"deep table":       "a = " + strings.Repeat("{a=", 200_000) + "1" + strings.Repeat("}", 200_000),
		"deep key":         strings.Repeat("a.", 400_000) + "a = 1",
		"deep table name":  "[" + strings.Repeat("a.", 400_000) + "a]",
		"long key":         long + " = 1",
		"long duration":    `wait = "` + long + `"`,
		"long number":      "count = " + strings.Repeat("9", 900_000),
		"long text":        `count = "` + long + `"`,
		"number too large": "count = 1e400",
		"no TOML":          long,
		"zero bytes":       strings.Repeat("\x00", 900_000),
	} {
		var into struct {
			Wait  Duration `toml:"wait"`
			Count int      `toml:"count"`
		}
		err := Decode("services/a", []byte(text), "correct the line", &into)
		if err == nil {
			t.Errorf("%s: no error", name)
		} else if text := err.Error(); len(text) > 2000 || !strings.Contains(text, "services/a") || !strings.Contains(text, "correct the line") {
			t.Errorf("%s: the error has %d bytes: %.100s", name, len(text), text)
		}
	}
}
