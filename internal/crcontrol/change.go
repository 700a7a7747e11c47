package crcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crreplica"
	"cardamomring.dev/internal/crstate"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// headerForwarded marks a change that an instance handed to the leader.
const headerForwarded = "Cr-Forwarded"

// statuses are the HTTP statuses of the codes.
var statuses = map[crwire.Code]int{
	crwire.CodeOK:          http.StatusOK,
	crwire.CodeConflict:    http.StatusConflict,
	crwire.CodeInvalid:     http.StatusUnprocessableEntity,
	crwire.CodeUnavailable: http.StatusServiceUnavailable,
	crwire.CodeDenied:      http.StatusForbidden,
}

// serveChange carries out an operator's change here or at the leader.
func (c *Control) serveChange(w http.ResponseWriter, r *http.Request) {
	var change crwire.Change
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMax))
	plain, unpackErr := unpack(body)
	if err = errors.Join(err, unpackErr); err == nil {
		err = json.Unmarshal(plain, &change)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	author, err := c.author(r)
	if err != nil {
		c.writeResult(w, crwire.Result{Code: crwire.CodeDenied, Text: err.Error()})
		return
	}
	change.Author = author
	status := c.awaitLeader(r.Context())
	switch {
	case status.Leading:
		c.writeResult(w, c.change(r.Context(), &change))
	case status.Address == "" || r.Header.Get(headerForwarded) != "":
		c.writeResult(w, unavailable(&crreplica.NotLeaderError{Leader: status.Address}, status.Address))
	case r.TLS != nil && r.Header.Get(headerAuthorization) == "":
		// A certificate proves the operator on this connection only, so the
		// operator's client goes to the leader by itself.
		c.writeResult(w, unavailable(&crreplica.NotLeaderError{Leader: status.Address}, status.Address))
	default:
		c.forwardChange(w, r, status.Address, body)
	}
}

// change commits a change as the leader.
func (c *Control) change(ctx context.Context, change *crwire.Change) crwire.Result {
	if err := c.growing(change); err != nil {
		return unavailable(err, c.replica.Status().Address)
	}
	e := crstate.Entry{Kind: change.Kind, Change: change, Findings: c.check(change)}
	if change.Kind == crwire.KindInstance && len(e.Findings) == 0 {
		found, err := c.changeInstance(ctx, change)
		if err != nil {
			return unavailable(err, c.replica.Status().Address)
		}
		e.Findings = found
	}
	reply, err := c.commit(ctx, e)
	if err != nil {
		return unavailable(err, c.replica.Status().Address)
	}
	return reply.Result
}

// check returns what is wrong with a change by this system's settings.
func (c *Control) check(change *crwire.Change) crdoc.Findings {
	var f crdoc.Findings
	zones := c.Settings.Zones
	switch change.Kind {
	case crwire.KindApply:
		if change.Service == nil {
			f.Add("service", "is missing")
			return f
		}
		return change.Service.Check(zones)
	case crwire.KindZoneOut, crwire.KindZoneIn:
		if len(zones) > 0 && !slices.Contains(zones, change.Zone) {
			f.Add("zone", "availability zone %q is not listed", change.Zone)
		}
	case crwire.KindCatalog:
		if change.Catalog == nil {
			f.Add("catalog", "is missing")
			return f
		}
		return change.Catalog.Check()
	case crwire.KindInstance:
		return checkInstance(change.Instance)
	default:
		f.Add("kind", "%s is no operator's change", change.Kind)
	}
	return f
}

// forwardChange hands a change to the leader and returns its answer.
func (c *Control) forwardChange(w http.ResponseWriter, r *http.Request, leader string, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, c.client.URL(leader, "/change"), bytes.NewReader(body))
	if err != nil {
		c.writeResult(w, unavailable(err, leader))
		return
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set(headerForwarded, c.Settings.Name)
	out.Header.Set(headerOperator, r.Header.Get(headerOperator))
	out.Header.Set(headerAuthorization, r.Header.Get(headerAuthorization))
	resp, err := c.client.Do(out)
	if err != nil {
		c.writeResult(w, unavailable(err, leader))
		return
	}
	defer resp.Body.Close()
	var result crwire.Result
	if err := json.NewDecoder(io.LimitReader(resp.Body, bodyMax)).Decode(&result); err != nil {
		result = unavailable(fmt.Errorf("answer of the leader: %w", err), leader)
	}
	c.writeResult(w, result)
}

// writeResult answers a change.
func (c *Control) writeResult(w http.ResponseWriter, result crwire.Result) {
	c.metrics.changes.WithLabelValues(result.Code.String()).Inc()
	crnet.WriteJSON(w, statuses[result.Code], result)
}

// unavailable answers a change that may or may not be committed.
func unavailable(err error, leader string) crwire.Result {
	return crwire.Result{Code: crwire.CodeUnavailable, Leader: leader, Text: err.Error()}
}
