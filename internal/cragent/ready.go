package cragent

import (
	"errors"

	"cardamomring.dev/internal/crwire"
)

// Serving returns nil if the agent accepts new work: it has a view and is
// active. Otherwise the error is the reason. It is safe for concurrent use.
func (a *Agent) Serving() error {
	if view := a.view.Load(); view == nil || view.Revision == 0 {
		return errors.New("no view yet")
	}
	if a.state.Load() != int64(crwire.MemberActive) {
		return errors.New("leaving")
	}
	return nil
}
