package crcontrol

import "errors"

// Serving returns nil while the instance has contact with the quorum, and otherwise
// an error with the reason why it can't serve. It may be called from any goroutine,
// also before Run.
func (c *Control) Serving() error {
	if !c.listening.Load() {
		return errors.New("starting")
	}
	if !c.replica.Status().Fresh {
		return errors.New("no contact with the quorum")
	}
	return nil
}
