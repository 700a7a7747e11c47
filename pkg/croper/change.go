package croper

import (
	"context"
	"errors"
	"fmt"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// Result is control's answer to a change.
type Result = crwire.Result

// ConflictError says that another change won the version.
type ConflictError struct {
	// Subject is the service.
	Subject string
	// Version is the version in force, and Winner who made it.
	Version uint64
	Winner  string
	// Text says it to people.
	Text string
}

// Error names the winner and the version.
func (e *ConflictError) Error() string { return fmt.Sprintf("%s: conflict: %s", e.Subject, e.Text) }

// InvalidError says what is wrong with a change.
type InvalidError struct {
	Subject  string
	Findings crdoc.Findings
}

// Error lists the findings.
func (e *InvalidError) Error() string { return e.Findings.WithFile(e.Subject).Error() }

// ErrDenied says that control knows no operator by the credentials.
var ErrDenied = errors.New("denied")

// Apply sets a service document, if its version is the one in force.
func (c *Client) Apply(ctx context.Context, doc *crdoc.Service) (Result, error) {
	return c.Change(ctx, crwire.Change{ID: c.NewID(), Kind: crwire.KindApply, Service: doc})
}

// SetZoneOut takes an availability zone out of service or brings it back.
func (c *Client) SetZoneOut(ctx context.Context, zone string, out bool) (Result, error) {
	kind := crwire.KindZoneIn
	if out {
		kind = crwire.KindZoneOut
	}
	return c.Change(ctx, crwire.Change{ID: c.NewID(), Kind: kind, Zone: zone})
}

// AddInstance admits a control instance without a vote.
func (c *Client) AddInstance(ctx context.Context, id uint64, address string) (Result, error) {
	return c.instance(ctx, crwire.Instance{Op: crwire.OpAdd, ID: id, Address: address})
}

// PromoteInstance gives a control instance a vote as soon as it holds the log.
func (c *Client) PromoteInstance(ctx context.Context, id uint64) (Result, error) {
	return c.instance(ctx, crwire.Instance{Op: crwire.OpPromote, ID: id})
}

// RemoveInstance takes a control instance out.
func (c *Client) RemoveInstance(ctx context.Context, id uint64) (Result, error) {
	return c.instance(ctx, crwire.Instance{Op: crwire.OpRemove, ID: id})
}

// instance sends the change of a control instance.
func (c *Client) instance(ctx context.Context, in crwire.Instance) (Result, error) {
	return c.Change(ctx, crwire.Change{ID: c.NewID(), Kind: crwire.KindInstance, Instance: &in})
}

// Change sends a change until it is answered for the quorum or ctx ends. The
// errors are *ConflictError, *InvalidError, ErrDenied and ErrUnreachable.
func (c *Client) Change(ctx context.Context, change crwire.Change) (Result, error) {
	var result Result
	err := c.each(ctx, func(addr string) (bool, string, error) {
		result = Result{}
		_, err := c.call(ctx, addr, "/change", change, &result)
		if err != nil {
			return false, "", err
		}
		if result.Code == crwire.CodeUnavailable {
			return false, result.Leader, errors.New(result.Text)
		}
		return true, "", nil
	})
	if err != nil {
		return result, fmt.Errorf("change %s may or may not be in force: %w", change.ID, err)
	}
	return result, asError(&change, &result)
}

// asError returns a refusal as an error.
func asError(change *crwire.Change, result *Result) error {
	subject := change.Zone
	if change.Instance != nil {
		subject = fmt.Sprintf("instance %d", change.Instance.ID)
	}
	if change.Service != nil {
		subject = change.Service.Name
	}
	switch result.Code {
	case crwire.CodeConflict:
		return &ConflictError{Subject: subject, Version: result.Version, Winner: result.Winner, Text: result.Text}
	case crwire.CodeInvalid:
		return &InvalidError{Subject: subject, Findings: result.Findings}
	case crwire.CodeDenied:
		return fmt.Errorf("%w: %s", ErrDenied, result.Text)
	default:
		return nil
	}
}
