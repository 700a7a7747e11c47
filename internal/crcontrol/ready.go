package crcontrol

import "errors"

// Serving says why the instance can't serve; nil while it has contact with
// the quorum. It may be called from any goroutine after Ready was called.
func (c *Control) Serving() error {
	if !c.replica.Status().Fresh {
		return errors.New("no contact with the quorum")
	}
	return nil
}
