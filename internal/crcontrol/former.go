package crcontrol

import (
	"time"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// expireFormerServices removes the former services of routes whose time has passed.
func (c *Control) expireFormerServices() {
	expired := false
	err := c.replica.Do(func() {
		if s := c.replica.Status(); s.Leading && s.Fresh {
			expired = c.state.FormerExpired(time.Now())
		}
	})
	if err != nil || !expired {
		return
	}
	if _, err := c.commit(c.runCtx, crstate.Entry{Kind: crwire.KindExpire}); err != nil {
		c.Logf("former services of routes are kept for now: %v", err)
	}
}
