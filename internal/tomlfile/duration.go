package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`duration %q is not valid; write a number with its unit, such as "250ms"`, text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText formats a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
