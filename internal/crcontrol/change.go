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

// headerForwarded marks a change that an instance has forwarded to the leader.
const headerForwarded = "Cr-Forwarded"

// httpStatuses maps the code of a result to the HTTP status of the response.
var httpStatuses = map[crwire.Code]int{
	crwire.CodeOK:          http.StatusOK,
	crwire.CodeConflict:    http.StatusConflict,
	crwire.CodeInvalid:     http.StatusUnprocessableEntity,
	crwire.CodeUnavailable: http.StatusServiceUnavailable,
	crwire.CodeDenied:      http.StatusForbidden,
}

// serveChange commits an operator's change if this instance leads, and otherwise
// forwards it to the leader.
func (c *Control) serveChange(w http.ResponseWriter, r *http.Request) {
	var change crwire.Change
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	data, decompressErr := decompress(body)
	if err = errors.Join(err, decompressErr); err == nil {
		err = json.Unmarshal(data, &change)
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
	if result, ok := c.zoneVersion(&change); ok {
		c.writeResult(w, result)
		return
	}
	status := c.waitForLeader(r.Context())
	switch {
	case status.Leading:
		c.writeResult(w, c.commitChange(r.Context(), &change))
	case status.Address == "" || r.Header.Get(headerForwarded) != "":
		c.writeResult(w, unavailable(&crreplica.NotLeaderError{Leader: status.Address}, status.Address))
	case r.TLS != nil && r.Header.Get(headerAuthorization) == "":
		// A certificate authenticates the operator on this connection only, so
		// the operator's client must call the leader itself.
		c.writeResult(w, unavailable(&crreplica.NotLeaderError{Leader: status.Address}, status.Address))
	default:
		c.forwardChange(w, r, status.Address, body)
	}
}

// commitChange checks and commits a change on the leader.
func (c *Control) commitChange(ctx context.Context, change *crwire.Change) crwire.Result {
	if err := c.checkVoterCount(change); err != nil {
		return unavailable(err, c.replica.Status().Address)
	}
	entry := crstate.Entry{Kind: change.Kind, Change: change, Findings: c.checkChange(change)}
	if change.Kind == crwire.KindCatalog {
		entry.FlowLifetime = c.FlowLifetime
	}
	if change.Kind == crwire.KindInstance && len(entry.Findings) == 0 {
		findings, err := c.changeInstance(ctx, change)
		if err != nil {
			return unavailable(err, c.replica.Status().Address)
		}
		entry.Findings = findings
	}
	reply, err := c.commit(ctx, entry)
	if err != nil {
		return unavailable(err, c.replica.Status().Address)
	}
	return reply.Result
}

// zoneVersion returns the result of a valid order about a zone that names no version of
// it: the version that this instance knows. The caller repeats the order with it, so that
// an order counts from the moment when its caller was there. Otherwise one that waited in
// the network, or in a process that stood still, could undo an order that was
// acknowledged after its caller had given up.
func (c *Control) zoneVersion(change *crwire.Change) (crwire.Result, bool) {
	isZone := change.Kind == crwire.KindZoneOut || change.Kind == crwire.KindZoneIn
	if !isZone || change.Base != nil || change.Zone == "" || len(c.checkChange(change)) > 0 {
		return crwire.Result{}, false
	}
	var version, revision uint64
	if err := c.replica.Do(func() { version, revision = c.state.ZoneVersion(change.Zone), c.state.Revision() }); err != nil {
		return unavailable(err, ""), true
	}
	return crwire.Result{
		Code: crwire.CodeConflict, Revision: revision, Version: version,
		Text: fmt.Sprintf("the order names no version of the zone, which is at version %d", version),
	}, true
}

// checkChange returns the errors in a change, checked against the settings of this
// instance.
func (c *Control) checkChange(change *crwire.Change) crdoc.Findings {
	var findings crdoc.Findings
	zones := c.Settings.Zones
	switch change.Kind {
	case crwire.KindApply:
		if change.Service == nil {
			findings.Add("service", "is missing")
			return findings
		}
		return change.Service.Check(zones)
	case crwire.KindZoneOut, crwire.KindZoneIn:
		if len(zones) > 0 && !slices.Contains(zones, change.Zone) {
			findings.Add("zone", "availability zone %q is not listed", change.Zone)
		}
	case crwire.KindCatalog:
		if change.Catalog == nil {
			findings.Add("catalog", "is missing")
			return findings
		}
		return change.Catalog.Check()
	case crwire.KindInstance:
		return checkInstance(change.Instance)
	default:
		findings.Add("kind", "%s is not an operator's change", change.Kind)
	}
	return findings
}

// forwardChange forwards a change to the leader and relays the result.
func (c *Control) forwardChange(w http.ResponseWriter, r *http.Request, leader string, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.client.URL(leader, "/change"), bytes.NewReader(body))
	if err != nil {
		c.writeResult(w, unavailable(err, leader))
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerForwarded, c.Settings.Name)
	req.Header.Set(headerOperator, r.Header.Get(headerOperator))
	req.Header.Set(headerAuthorization, r.Header.Get(headerAuthorization))
	resp, err := c.client.Do(req)
	if err != nil {
		c.writeResult(w, unavailable(err, leader))
		return
	}
	defer resp.Body.Close()
	var result crwire.Result
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&result); err != nil {
		result = unavailable(fmt.Errorf("decode the response of the leader: %w", err), leader)
	}
	c.writeResult(w, result)
}

// writeResult responds with the result of a change.
func (c *Control) writeResult(w http.ResponseWriter, result crwire.Result) {
	c.metrics.changes.WithLabelValues(result.Code.String()).Inc()
	crnet.WriteJSON(w, httpStatuses[result.Code], result)
}

// unavailable returns the result of a change that may or may not be committed.
func unavailable(err error, leader string) crwire.Result {
	return crwire.Result{Code: crwire.CodeUnavailable, Leader: leader, Text: err.Error()}
}
