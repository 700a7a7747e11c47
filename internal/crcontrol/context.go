package crcontrol

import (
	"context"
	"net/http"
)

// untilStop returns the request's context, ended also by the instance's stop.
func (c *Control) untilStop(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	unregister := context.AfterFunc(c.life, cancel)
	return ctx, func() {
		unregister()
		cancel()
	}
}
