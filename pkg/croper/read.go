package croper

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"cardamomring.dev/internal/crfeed"
	"cardamomring.dev/internal/crwire"
)

// View is the configuration in force.
type View = crwire.View

// Audit is one line of the audit trail.
type Audit = crwire.Audit

// Status is what one control instance knows.
type Status = crwire.Status

// Instance is a control instance as the client saw it.
type Instance struct {
	// Address is its host:port.
	Address string `json:"address"`
	// Status is its answer, nil when it gave none.
	Status *Status `json:"status,omitempty"`
	// Error says why there is no answer.
	Error string `json:"error,omitempty"`
}

// View returns the configuration in force, from an instance that has proven
// that it is fresh.
func (c *Client) View(ctx context.Context) (*View, error) {
	var view *View
	err := c.each(ctx, func(addr string) (bool, string, error) {
		var feed crwire.Feed
		status, err := c.call(ctx, addr, "/feed?after=0", nil, &feed)
		if err == nil && status == http.StatusOK && feed.Stale {
			err = fmt.Errorf("%s is stale", addr)
		}
		if err != nil {
			return false, "", err
		}
		view, err = crfeed.ApplyFeed(crfeed.EmptyView(), &feed)
		return true, "", err
	})
	return view, err
}

// Audit returns at most limit lines of the audit trail before line before,
// oldest first; before 0 means the latest. A subject that isn't empty selects
// one service, zone or instance. The answer comes from the leader.
func (c *Client) Audit(ctx context.Context, before uint64, limit int, subject string) ([]Audit, error) {
	var lines []Audit
	err := c.each(ctx, func(addr string) (bool, string, error) {
		var s Status
		if _, err := c.call(ctx, addr, "/status", nil, &s); err != nil {
			return false, "", err
		}
		if !s.Leading || !s.QuorumContact {
			return false, s.LeaderAddress, errors.New("no leader")
		}
		path := fmt.Sprintf("/audit?before=%d&limit=%d&subject=%s", before, limit, url.QueryEscape(subject))
		_, err := c.call(ctx, addr, path, nil, &lines)
		return err == nil, "", err
	})
	return lines, err
}

// Instances asks every instance that is known for its status, by address.
func (c *Client) Instances(ctx context.Context) []Instance {
	var out []Instance
	addrs := slices.Clone(c.Control)
	for i := 0; i < len(addrs); i++ {
		in := Instance{Address: addrs[i], Status: &Status{}}
		if _, err := c.call(ctx, addrs[i], "/status", nil, in.Status); err != nil {
			in.Status, in.Error = nil, err.Error()
		} else {
			for _, m := range in.Status.Members {
				if m.Address != "" && !slices.Contains(addrs, m.Address) {
					addrs = append(addrs, m.Address)
				}
			}
		}
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.Address, b.Address) })
	return out
}
