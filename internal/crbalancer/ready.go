package crbalancer

import "errors"

// Serving says why the balancer can't serve yet; nil once it holds a view.
// It may be called from any goroutine.
func (b *Balancer) Serving() error {
	if view := b.view.Load(); view == nil || view.Revision == 0 {
		return errors.New("no view yet")
	}
	return nil
}
