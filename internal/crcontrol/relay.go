package crcontrol

import (
	"context"
	"errors"
	"time"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crwire"
)

// relayTimeout bounds a call to one instance.
const relayTimeout = 700 * time.Millisecond

// Relay hands operators' calls to control instances, on an instance without a
// disk. Set the exported fields before use.
type Relay struct {
	// Client calls the instances.
	Client *crnet.Client
	// Sources returns their host:port.
	Sources func() []string
}

// Submit hands on a change.
func (r *Relay) Submit(ctx context.Context, change *crwire.Change) crwire.Result {
	result := unavailable(&crreplica.NotLeaderError{}, "")
	for _, addr := range r.Sources() {
		once, cancel := context.WithTimeout(ctx, relayTimeout)
		result = Submit(once, r.Client, addr, change)
		if result.Code == crwire.CodeUnavailable && result.Leader != "" && result.Leader != addr {
			result = Submit(once, r.Client, result.Leader, change)
		}
		cancel()
		if result.Code != crwire.CodeUnavailable {
			return result
		}
	}
	return result
}

// Catalog reads the catalog in force. An instance that doesn't lead refuses.
func (r *Relay) Catalog(ctx context.Context) (crwire.StoredCatalog, error) {
	err := error(&crreplica.NotLeaderError{})
	for _, addr := range r.Sources() {
		once, cancel := context.WithTimeout(ctx, relayTimeout)
		held, callErr := Catalog(once, r.Client, addr)
		cancel()
		if callErr == nil {
			return held, nil
		}
		err = errors.Join(err, callErr)
	}
	return crwire.StoredCatalog{}, err
}
