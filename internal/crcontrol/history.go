package crcontrol

import (
	"time"

	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

// expireHistory removes what the state keeps about earlier catalogs and members until the
// flows of their time have ended.
func (c *Control) expireHistory() {
	expired := false
	err := c.replica.Do(func() {
		if s := c.replica.Status(); s.Leading && s.Fresh {
			expired = c.state.Expired(time.Now())
		}
	})
	if err != nil || !expired {
		return
	}
	if _, err := c.commit(c.runCtx, crstate.Entry{Kind: crwire.KindExpire}); err != nil {
		c.Logf("the history of routes and members is kept for now: %v", err)
	}
}
