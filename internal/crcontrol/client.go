package crcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
)

const (
	// PathChange is the path on which an operator's change is submitted.
	PathChange = "/change"
	// PathCatalog is the path of the current catalog.
	PathCatalog = "/catalog"
)

// Submit commits a change if this instance leads, and otherwise forwards it to the
// leader. A change is forwarded at most once, so that it can't loop.
func (c *Control) Submit(ctx context.Context, change *crwire.Change) crwire.Result {
	if result, ok := c.alreadyInForce(change); ok {
		return result
	}
	if result, ok := c.zoneVersion(change); ok {
		return result
	}
	status := c.waitForLeader(ctx)
	if status.Leading {
		return c.commitChange(ctx, change)
	}
	if status.Address == "" {
		return unavailable(&crreplica.NotLeaderError{}, "")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return Submit(ctx, c.client, status.Address, change)
}

// alreadyInForce returns the result for a valid catalog if its version or a higher
// one is already committed. Operators retry with the same catalog after a lost
// response. Every instance can return this result without the leader, because what
// it has applied is committed.
func (c *Control) alreadyInForce(change *crwire.Change) (crwire.Result, bool) {
	if change.Kind != crwire.KindCatalog || len(c.checkChange(change)) > 0 {
		return crwire.Result{}, false
	}
	view := c.source.View()
	if view.Catalog == nil || change.Catalog.Version > view.Catalog.Version {
		return crwire.Result{}, false
	}
	return crwire.Result{
		Code: crwire.CodeOK, Revision: view.Revision, Version: view.Catalog.Version, Text: "a version as high is in force",
	}, true
}

// Submit sends a change to a control instance.
func Submit(ctx context.Context, client *crnet.Client, addr string, change *crwire.Change) crwire.Result {
	var result crwire.Result
	body, err := json.Marshal(change)
	if err == nil {
		body, err = compress(body)
	}
	if err == nil {
		err = post(ctx, client, addr, PathChange, change.Author, body, &result)
	}
	if err != nil {
		return unavailable(err, addr)
	}
	return result
}

// post sends a body to an instance, marked as forwarded, and decodes the response
// whatever its HTTP status.
func post(ctx context.Context, client *crnet.Client, addr, path, author string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, client.URL(addr, path), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerForwarded, "1")
	req.Header.Set(headerOperator, author)
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call %s%s: %w", addr, path, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode the response of %s%s: %w", addr, path, err)
	}
	return nil
}

// Catalog returns the current catalog as its operator wrote it. The leader commits
// an entry before it reads the catalog. This proves that the catalog is the latest
// one without relying on clocks.
func (c *Control) Catalog(ctx context.Context) (crwire.StoredCatalog, error) {
	status := c.waitForLeader(ctx)
	if !status.Leading {
		if status.Address == "" {
			return crwire.StoredCatalog{}, &crreplica.NotLeaderError{}
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		return Catalog(ctx, c.client, status.Address)
	}
	if _, err := c.commit(ctx, crstate.Entry{Kind: crwire.KindRead}); err != nil {
		return crwire.StoredCatalog{}, err
	}
	var stored crwire.StoredCatalog
	err := c.replica.Do(func() { stored = c.state.CatalogSource() })
	return stored, err
}

// Catalog requests the current catalog from a control instance.
func Catalog(ctx context.Context, client *crnet.Client, addr string) (crwire.StoredCatalog, error) {
	var stored crwire.StoredCatalog
	err := client.JSON(ctx, addr, PathCatalog, struct{}{}, &stored)
	return stored, err
}

// serveCatalog responds with the current catalog if this instance leads.
func (c *Control) serveCatalog(w http.ResponseWriter, r *http.Request) {
	if status := c.replica.Status(); !status.Leading {
		c.respond(w, nil, &crreplica.NotLeaderError{Leader: status.Address})
		return
	}
	stored, err := c.Catalog(r.Context())
	c.respond(w, stored, err)
}
