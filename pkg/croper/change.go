package croper

import (
	"context"
	"errors"
	"fmt"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// maxZoneTries is how often an order about a zone is sent with the version that control
// has named, while other orders about the zone come first.
const maxZoneTries = 3

// Result is control's response to a change.
type Result = crwire.Result

// ConflictError means that another change of the same version was accepted first.
type ConflictError struct {
	// Subject is the service, the zone or the instance that the change concerns.
	Subject string
	// Version is the version in force, and Winner the operator who made it.
	Version uint64
	Winner  string
	// Text describes the conflict, as received from control.
	Text string
}

// Error returns the subject and the text, which names the winner and the version.
func (e *ConflictError) Error() string { return fmt.Sprintf("%s: conflict: %s", e.Subject, e.Text) }

// InvalidError means that control found errors in a change.
type InvalidError struct {
	// Subject is the service, the zone or the instance that the change concerns.
	Subject string
	// Findings lists the errors.
	Findings crdoc.Findings
}

// Error lists the findings, one per line.
func (e *InvalidError) Error() string { return e.Findings.WithFile(e.Subject).Error() }

// ErrDenied means that control knows no operator with the client's credentials.
var ErrDenied = errors.New("denied")

// Apply puts a service document into force. It requires that doc.Version is the
// version in force, or 0 for a new service. Its errors are those of Change.
func (c *Client) Apply(ctx context.Context, doc *crdoc.Service) (Result, error) {
	return c.Change(ctx, crwire.Change{ID: c.NewID(), Kind: crwire.KindApply, Service: doc})
}

// SetZoneOut takes an availability zone out of service if out is true, and
// brings it back otherwise. The order is for the version of the zone at the time of the
// call: if it is delayed beyond the end of the call, it undoes no later order. Its errors
// are those of Change; a *ConflictError means that other orders about the zone were
// committed meanwhile.
func (c *Client) SetZoneOut(ctx context.Context, zone string, out bool) (Result, error) {
	change := crwire.Change{Kind: crwire.KindZoneIn, Zone: zone}
	if out {
		change.Kind = crwire.KindZoneOut
	}
	for tries := 0; ; tries++ {
		change.ID = c.NewID()
		result, err := c.Change(ctx, change)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || tries == maxZoneTries {
			return result, err
		}
		change.Base = &conflict.Version
	}
}

// AddInstance admits a control instance, without a vote. address is its
// host:port. The errors are those of Change.
func (c *Client) AddInstance(ctx context.Context, id uint64, address string) (Result, error) {
	return c.changeInstance(ctx, crwire.Instance{Op: crwire.OpAdd, ID: id, Address: address})
}

// PromoteInstance gives a control instance a vote as soon as it has received the
// log. The errors are those of Change.
func (c *Client) PromoteInstance(ctx context.Context, id uint64) (Result, error) {
	return c.changeInstance(ctx, crwire.Instance{Op: crwire.OpPromote, ID: id})
}

// RemoveInstance removes a control instance. The errors are those of Change.
func (c *Client) RemoveInstance(ctx context.Context, id uint64) (Result, error) {
	return c.changeInstance(ctx, crwire.Instance{Op: crwire.OpRemove, ID: id})
}

// changeInstance sends a change of a control instance.
func (c *Client) changeInstance(ctx context.Context, in crwire.Instance) (Result, error) {
	return c.Change(ctx, crwire.Change{ID: c.NewID(), Kind: crwire.KindInstance, Instance: &in})
}

// Change sends a change, under the same ID each time, until an instance responds
// on behalf of the quorum or ctx ends. Its error is a *ConflictError, an
// *InvalidError, or wraps ErrDenied or ErrUnreachable. After ErrUnreachable, the
// change may or may not be in force.
func (c *Client) Change(ctx context.Context, change crwire.Change) (Result, error) {
	var result Result
	err := c.tryInstances(ctx, func(addr string) (bool, string, error) {
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
	return result, resultError(&change, &result)
}

// resultError returns the error for a refusal, or nil.
func resultError(change *crwire.Change, result *Result) error {
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
