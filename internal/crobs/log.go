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

// NewLogger returns a logger that writes to w with the level and the format of cfg.
func NewLogger(cfg crdoc.Log, w io.Writer) (*log.Logger, error) {
	name := cfg.Level
	if name == "" {
		name = "info"
	}
	level, err := log.ParseLevel(name)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", cfg.Level)
	}
	logger := &log.Logger{Handler: text.New(w), Level: level}
	if cfg.Format == crdoc.FormatJSON {
		logger.Handler = json.New(w)
	}
	return logger, nil
}
