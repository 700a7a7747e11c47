// Package crobs sets up logging, metrics and the admin address.
package crobs

import (
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"

	"cardamomring.dev/pkg/crdoc"
)

// NewLogger returns a logger that writes to an output, which it opens, with the level and
// the format of cfg.
func NewLogger(cfg crdoc.Log, out *Output) (*log.Logger, error) {
	name := cfg.Level
	if name == "" {
		name = "info"
	}
	level, err := log.ParseLevel(name)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", cfg.Level)
	}
	out.Open(func(w io.Writer) log.Handler {
		if cfg.Format == crdoc.FormatJSON {
			return json.New(w)
		}
		return text.New(w)
	})
	return &log.Logger{Handler: &outputHandler{output: out}, Level: level}, nil
}
