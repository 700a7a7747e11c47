package crstate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// maxChangeResults is the number of change results kept to answer retries.
const maxChangeResults = 4096

// changeResult is the stored result of a change, returned when the change is
// sent again.
type changeResult struct {
	ID string `json:"id"`
	// Digest is the hash of the change without its author.
	Digest string        `json:"digest"`
	Result crwire.Result `json:"result"`
}

// applyChange applies an operator's change. It is idempotent: a change with a
// known ID returns the stored result.
func (s *State) applyChange(e Entry) Reply {
	c := e.Change
	if c == nil || c.ID == "" {
		return Reply{Result: s.invalidID("the change has no ID")}
	}
	digest := digestOf(c)
	if prior, ok := s.resultByID[c.ID]; ok {
		if prior.Digest != digest {
			return Reply{Result: s.invalidID("the ID was used for another change")}
		}
		return Reply{Result: prior.Result}
	}
	line := crwire.Audit{Time: s.Time, Author: c.Author, ID: c.ID, Kind: c.Kind}
	var delta *crwire.Delta
	var result crwire.Result
	switch c.Kind {
	case crwire.KindApply:
		delta, result = s.applyService(c, e.Findings, &line)
	case crwire.KindCatalog:
		delta, result = s.applyCatalog(c, e.Findings, &line, e.FlowLifetime)
	case crwire.KindInstance:
		result = auditInstance(c, e.Findings, &line)
	default:
		delta, result = s.applyZone(c, e.Findings, &line)
	}
	result.Revision = s.persisted.Revision
	s.appendAudit(line, result)
	s.storeResult(changeResult{ID: c.ID, Digest: digest, Result: result})
	return Reply{Result: result, Delta: delta}
}

// invalidID returns the result of a change that has no ID or reuses the ID of
// a different change. Such a result is neither stored nor audited.
func (s *State) invalidID(text string) crwire.Result {
	return crwire.Result{
		Code: crwire.CodeInvalid, Revision: s.persisted.Revision, Text: text,
		Findings: []crdoc.Finding{{Place: "id", Text: text}},
	}
}

// storeResult adds a change result and evicts the oldest one beyond
// maxChangeResults.
func (s *State) storeResult(r changeResult) {
	s.ChangeResults = append(s.ChangeResults, r)
	s.resultByID[r.ID] = r
	if len(s.ChangeResults) > maxChangeResults {
		delete(s.resultByID, s.ChangeResults[0].ID)
		s.ChangeResults = s.ChangeResults[1:]
	}
}

// applyService sets a service document if it was edited from the current
// version.
func (s *State) applyService(c *crwire.Change, findings crdoc.Findings, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	if c.Service == nil {
		return nil, invalidResult(crdoc.Findings{{Place: "service", Text: "is missing"}}, 0)
	}
	doc := *c.Service
	var current uint64
	if old := s.Services[doc.Name]; old != nil {
		current = old.Version
	}
	line.Subject, line.From, line.To = doc.Name, current, current
	if len(findings) > 0 {
		return nil, invalidResult(findings, current)
	}
	if doc.Version != current {
		return nil, s.conflictResult(&doc, current)
	}
	if findings = doc.CheckAgainst(sortedServices(s.Services)); len(findings) > 0 {
		return nil, invalidResult(findings, current)
	}
	doc.Version++
	line.To = doc.Version
	s.Services[doc.Name] = &doc
	s.Authors[doc.Name] = c.Author
	delta := s.nextRevision()
	delta.Services = []*crdoc.Service{&doc}
	return delta, crwire.Result{Code: crwire.CodeOK, Version: doc.Version}
}

// conflictResult returns the result of a document that was not edited from the
// current version.
func (s *State) conflictResult(doc *crdoc.Service, current uint64) crwire.Result {
	author := s.Authors[doc.Name]
	text := fmt.Sprintf("version %d by %s is in force; the document was edited from version %d",
		current, author, doc.Version)
	if current == 0 {
		text = fmt.Sprintf("the service does not exist; the document was edited from version %d", doc.Version)
	}
	return crwire.Result{Code: crwire.CodeConflict, Version: current, Winner: author, Text: text}
}

// applyZone takes a zone out of service or brings it back. If the zone already
// is in that state, the revision stays the same. An order that was made for an earlier
// version of the zone is refused: its caller may have left long ago, while a later order
// was acknowledged. An order without a base is from a log of an earlier release.
func (s *State) applyZone(c *crwire.Change, findings crdoc.Findings, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	line.Subject = c.Zone
	if c.Zone == "" {
		findings.Add("zone", "is missing")
	}
	if len(findings) > 0 {
		return nil, invalidResult(findings, 0)
	}
	version := s.ZoneVersions[c.Zone]
	line.From, line.To = version, version
	if c.Base != nil && *c.Base != version {
		text := fmt.Sprintf("the zone is at version %d; the order was made for version %d", version, *c.Base)
		return nil, crwire.Result{Code: crwire.CodeConflict, Version: version, Text: text}
	}
	version++
	s.ZoneVersions[c.Zone], line.To = version, version
	if !s.setZone(c.Zone, c.Kind == crwire.KindZoneOut) {
		return nil, crwire.Result{Code: crwire.CodeOK, Version: version, Text: "nothing to change"}
	}
	delta := s.nextRevision()
	delta.ZonesOut, delta.ZonesOutChanged = s.View().ZonesOut, true
	return delta, crwire.Result{Code: crwire.CodeOK, Version: version}
}

// ZoneVersion returns how many orders about a zone were carried out.
func (s *State) ZoneVersion(zone string) uint64 { return s.ZoneVersions[zone] }

// auditInstance fills in the audit line of a change to the set of control
// instances. The change itself is applied by the replicated log.
func auditInstance(c *crwire.Change, findings crdoc.Findings, line *crwire.Audit) crwire.Result {
	if c.Instance != nil {
		line.Subject = fmt.Sprintf("%s-%d", c.Instance.Op, c.Instance.ID)
	}
	if len(findings) > 0 {
		return invalidResult(findings, 0)
	}
	return crwire.Result{Code: crwire.CodeOK}
}

// ChangeResult returns the stored result of the change with this ID, if any.
func (s *State) ChangeResult(id string) (crwire.Result, bool) {
	prior, ok := s.resultByID[id]
	return prior.Result, ok
}

// invalidResult returns the result of a change that has findings.
func invalidResult(findings crdoc.Findings, version uint64) crwire.Result {
	return crwire.Result{Code: crwire.CodeInvalid, Version: version, Findings: findings, Text: findings.Error()}
}

// digestOf returns the hash of a change without its author.
func digestOf(c *crwire.Change) string {
	withoutAuthor := *c
	withoutAuthor.Author = ""
	data, err := json.Marshal(withoutAuthor)
	if err != nil {
		// Unreachable: a change was decoded from JSON and holds plain data only.
		return err.Error()
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
