package crdoc

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text such as "1.5s" in JSON.
type Duration time.Duration

// D returns the standard library's form.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}
