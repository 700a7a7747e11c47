package croper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"cardamomring.dev/internal/crwire"
)

// View is the configuration in force.
type View = crwire.View

// Audit is one entry of the audit trail.
type Audit = crwire.Audit

// Status is the state of one control instance.
type Status = crwire.Status

// Instance is a control instance with its status or the error of the call.
type Instance struct {
	// Address is the host:port of the instance.
	Address string `json:"address"`
	// Status is the response of the instance; nil if it didn't respond.
	Status *Status `json:"status,omitempty"`
	// Error is the error of the call; empty if the instance responded.
	Error string `json:"error,omitempty"`
}

// View returns the configuration in force. It includes every change that was
// accepted before the call, because the leader confirms with a quorum that it
// still leads. If no leader responds before ctx ends, the error wraps
// ErrUnreachable.
func (c *Client) View(ctx context.Context) (*View, error) {
	var view View
	err := c.tryInstances(ctx, func(addr string) (bool, string, error) {
		var body json.RawMessage
		status, err := c.call(ctx, addr, "/latest", nil, &body)
		if err != nil {
			return false, "", err
		}
		if status != http.StatusOK {
			var refusal crwire.Unavailable
			if err := json.Unmarshal(body, &refusal); err != nil {
				return false, "", fmt.Errorf("answer of %s: status %d: %w", addr, status, err)
			}
			return false, refusal.Leader, errors.New(refusal.Text)
		}
		view = View{}
		return true, "", json.Unmarshal(body, &view)
	})
	if err != nil {
		return nil, err
	}
	return &view, nil
}

// Audit returns at most limit entries of the audit trail, oldest first: those
// right before the entry with the number before, or the latest if before is 0. A
// subject selects the entries of one service, zone or instance; empty means all.
// The entries come from the leader. If no leader responds before ctx ends, the
// error wraps ErrUnreachable.
func (c *Client) Audit(ctx context.Context, before uint64, limit int, subject string) ([]Audit, error) {
	var lines []Audit
	err := c.tryInstances(ctx, func(addr string) (bool, string, error) {
		var s Status
		if _, err := c.call(ctx, addr, "/status", nil, &s); err != nil {
			return false, "", err
		}
		if !s.Leading || !s.QuorumContact {
			return false, s.LeaderAddress, errors.New("instance is not the leader or has no quorum")
		}
		path := fmt.Sprintf("/audit?before=%d&limit=%d&subject=%s", before, limit, url.QueryEscape(subject))
		_, err := c.call(ctx, addr, path, nil, &lines)
		return err == nil, "", err
	})
	return lines, err
}

// Instances returns the status of every control instance, sorted by address:
// those in Control and the members that these report.
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
