package cragent

import (
	"errors"

	"cardamomring.dev/internal/crwire"
)

// Serving says why the agent can't take new work; nil once it holds a view
// and until it leaves. It may be called from any goroutine.
func (a *Agent) Serving() error {
	if view := a.view.Load(); view == nil || view.Revision == 0 {
		return errors.New("no view yet")
	}
	if a.state.Load() != int64(crwire.MemberActive) {
		return errors.New("leaving")
	}
	return nil
}
