package crbalancer

import "errors"

// Serving returns nil if the balancer has a view, and otherwise an error that
// says why it can't serve. It is safe for concurrent use.
func (b *Balancer) Serving() error {
	if view := b.view.Load(); view == nil || view.Revision == 0 {
		return errors.New("no view yet")
	}
	return nil
}
