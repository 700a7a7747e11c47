package crcontrol

import "errors"

// Serving returns nil while the instance has contact with the quorum, and otherwise
// an error with the reason why it can't serve. It may be called from any goroutine
// after Ready was called.
func (c *Control) Serving() error {
	if !c.replica.Status().Fresh {
		return errors.New("no contact with the quorum")
	}
	return nil
}
