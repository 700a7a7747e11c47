package crcontrol

import (
	"context"
	"errors"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crwire"
)

// relayTimeout bounds the call to one instance, together with a second call to the
// leader that this instance reports.
const relayTimeout = 700 * time.Millisecond

// Relay forwards operators' calls to control instances. It runs on instances that
// have no disk. Set the exported fields before use.
type Relay struct {
	// Client calls the instances.
	Client *crnet.Client
	// Sources returns the host:port of the control instances.
	Sources func() []string
}

// Submit submits a change to the instances in turn until one returns a definite
// result.
func (r *Relay) Submit(ctx context.Context, change *crwire.Change) crwire.Result {
	result := unavailable(&crreplica.NotLeaderError{}, "")
	for _, addr := range r.Sources() {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		result = Submit(callCtx, r.Client, addr, change)
		if result.Code == crwire.CodeUnavailable && result.Leader != "" && result.Leader != addr {
			result = Submit(callCtx, r.Client, result.Leader, change)
		}
		cancel()
		if result.Code != crwire.CodeUnavailable {
			return result
		}
	}
	return result
}

// Catalog returns the current catalog. It calls the instances in turn, because an
// instance that is not the leader rejects the call.
func (r *Relay) Catalog(ctx context.Context) (crwire.StoredCatalog, error) {
	err := error(&crreplica.NotLeaderError{})
	for _, addr := range r.Sources() {
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		stored, callErr := Catalog(callCtx, r.Client, addr)
		cancel()
		if callErr == nil {
			return stored, nil
		}
		err = errors.Join(err, callErr)
	}
	return crwire.StoredCatalog{}, err
}
