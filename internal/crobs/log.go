// Package crobs sets up logs and metrics.
package crobs

import (
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"

	"cardamomring.dev/pkg/crdoc"
)

// NewLogger returns a logger that writes to w as the settings say.
func NewLogger(set crdoc.Log, w io.Writer) (*log.Logger, error) {
	name := set.Level
	if name == "" {
		name = "info"
	}
	level, err := log.ParseLevel(name)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", set.Level)
	}
	logger := &log.Logger{Handler: text.New(w), Level: level}
	if set.Format == crdoc.FormatJSON {
		logger.Handler = json.New(w)
	}
	return logger, nil
}
