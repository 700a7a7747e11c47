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
	// PathChange takes a change of an operator.
	PathChange = "/change"
	// PathCatalog answers with the catalog in force.
	PathCatalog = "/catalog"
)

// Submit carries out a change here or at the leader. A change that is passed
// on more than once is refused, so that it can't loop.
func (c *Control) Submit(ctx context.Context, change *crwire.Change) crwire.Result {
	if done, ok := c.overtaken(change); ok {
		return done
	}
	status := c.awaitLeader(ctx)
	if status.Leading {
		return c.change(ctx, change)
	}
	if status.Address == "" {
		return unavailable(&crreplica.NotLeaderError{}, "")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return Submit(ctx, c.client, status.Address, change)
}

// overtaken answers a valid catalog whose version, or a higher one, is committed
// already. Any instance may: what it has applied is committed. Operators send
// the same again after each lost answer.
func (c *Control) overtaken(change *crwire.Change) (crwire.Result, bool) {
	if change.Kind != crwire.KindCatalog || len(c.check(change)) > 0 {
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
		body, err = pack(body)
	}
	if err == nil {
		err = post(ctx, client, addr, PathChange, change.Author, body, &result)
	}
	if err != nil {
		return unavailable(err, addr)
	}
	return result
}

// post sends a body to the leader and decodes its answer, whatever its status.
func post(ctx context.Context, client *crnet.Client, addr, path, author string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, client.URL(addr, path), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request to %s: %w", addr, err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerForwarded, "1")
	r.Header.Set(headerOperator, author)
	resp, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("call %s%s: %w", addr, path, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("answer of %s%s: %w", addr, path, err)
	}
	return nil
}

// Catalog returns the catalog in force as its operator wrote it. It is read
// behind a committed entry, so no clock takes part in the proof that it is the
// newest one.
func (c *Control) Catalog(ctx context.Context) (crwire.StoredCatalog, error) {
	status := c.awaitLeader(ctx)
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
	var held crwire.StoredCatalog
	err := c.replica.Do(func() { held = c.state.CatalogSource() })
	return held, err
}

// Catalog asks a control instance for the catalog in force.
func Catalog(ctx context.Context, client *crnet.Client, addr string) (crwire.StoredCatalog, error) {
	var held crwire.StoredCatalog
	err := client.JSON(ctx, addr, PathCatalog, struct{}{}, &held)
	return held, err
}

// serveCatalog answers with the catalog when this instance leads.
func (c *Control) serveCatalog(w http.ResponseWriter, r *http.Request) {
	if status := c.replica.Status(); !status.Leading {
		c.answer(w, nil, &crreplica.NotLeaderError{Leader: status.Address})
		return
	}
	held, err := c.Catalog(r.Context())
	c.answer(w, held, err)
}
