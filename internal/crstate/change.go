package crstate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// answersMax is how many answers to changes are remembered by their ID.
const answersMax = 4096

// answer is the remembered answer to a change.
type answer struct {
	ID string `json:"id"`
	// Digest is a hash of the change without its author.
	Digest string        `json:"digest"`
	Result crwire.Result `json:"result"`
}

// applyChange carries out an operator's change once per ID.
func (s *State) applyChange(e Entry) Reply {
	c := e.Change
	if c == nil || c.ID == "" {
		return Reply{Result: s.refuse("the change has no ID")}
	}
	digest := digestOf(c)
	if known, ok := s.recent[c.ID]; ok {
		if known.Digest != digest {
			return Reply{Result: s.refuse("the ID was used for another change")}
		}
		return Reply{Result: known.Result}
	}
	line := crwire.Audit{Time: s.Time, Author: c.Author, ID: c.ID, Kind: c.Kind}
	var delta *crwire.Delta
	var result crwire.Result
	switch c.Kind {
	case crwire.KindApply:
		delta, result = s.applyService(c, e.Findings, &line)
	case crwire.KindCatalog:
		delta, result = s.applyCatalog(c, e.Findings, &line)
	case crwire.KindInstance:
		result = noteInstance(c, e.Findings, &line)
	default:
		delta, result = s.applyZone(c, e.Findings, &line)
	}
	result.Revision = s.image.Revision
	s.record(line, result)
	s.remember(answer{ID: c.ID, Digest: digest, Result: result})
	return Reply{Result: result, Delta: delta}
}

// refuse answers a change that can't be remembered by its ID.
func (s *State) refuse(text string) crwire.Result {
	return crwire.Result{
		Code: crwire.CodeInvalid, Revision: s.image.Revision, Text: text,
		Findings: []crdoc.Finding{{Place: "id", Text: text}},
	}
}

// remember keeps the latest answers.
func (s *State) remember(a answer) {
	s.Answers = append(s.Answers, a)
	s.recent[a.ID] = a
	if len(s.Answers) > answersMax {
		delete(s.recent, s.Answers[0].ID)
		s.Answers = s.Answers[1:]
	}
}

// applyService sets a document if its version is the one in force.
func (s *State) applyService(c *crwire.Change, found crdoc.Findings, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	if c.Service == nil {
		return nil, invalid(crdoc.Findings{{Place: "service", Text: "is missing"}}, 0)
	}
	doc := *c.Service
	var current uint64
	if old := s.Services[doc.Name]; old != nil {
		current = old.Version
	}
	line.Subject, line.From, line.To = doc.Name, current, current
	if len(found) > 0 {
		return nil, invalid(found, current)
	}
	if doc.Version != current {
		return nil, s.conflict(&doc, current)
	}
	if found = doc.CheckAgainst(sortedServices(s.Services)); len(found) > 0 {
		return nil, invalid(found, current)
	}
	doc.Version++
	line.To = doc.Version
	s.Services[doc.Name] = &doc
	s.Authors[doc.Name] = c.Author
	delta := s.advance()
	delta.Services = []*crdoc.Service{&doc}
	return delta, crwire.Result{Code: crwire.CodeOK, Version: doc.Version}
}

// conflict answers a document that was edited from another version than the
// one in force.
func (s *State) conflict(doc *crdoc.Service, current uint64) crwire.Result {
	winner := s.Authors[doc.Name]
	text := fmt.Sprintf("version %d by %s is in force; the document was edited from version %d",
		current, winner, doc.Version)
	if current == 0 {
		text = fmt.Sprintf("the service does not exist; the document was edited from version %d", doc.Version)
	}
	return crwire.Result{Code: crwire.CodeConflict, Version: current, Winner: winner, Text: text}
}

// applyZone takes a zone out or brings it back. A zone that already is so
// stays so, at the same revision.
func (s *State) applyZone(c *crwire.Change, found crdoc.Findings, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	line.Subject = c.Zone
	if c.Zone == "" {
		found.Add("zone", "is missing")
	}
	if len(found) > 0 {
		return nil, invalid(found, 0)
	}
	if !s.setZone(c.Zone, c.Kind == crwire.KindZoneOut) {
		return nil, crwire.Result{Code: crwire.CodeOK, Text: "nothing to change"}
	}
	delta := s.advance()
	delta.ZonesOut, delta.ZonesOutChanged = s.View().ZonesOut, true
	return delta, crwire.Result{Code: crwire.CodeOK}
}

// noteInstance records a change of a control instance, which the replicated
// log itself has carried out.
func noteInstance(c *crwire.Change, found crdoc.Findings, line *crwire.Audit) crwire.Result {
	if c.Instance != nil {
		line.Subject = fmt.Sprintf("%s-%d", c.Instance.Op, c.Instance.ID)
	}
	if len(found) > 0 {
		return invalid(found, 0)
	}
	return crwire.Result{Code: crwire.CodeOK}
}

// ChangeResult returns the remembered answer to a change and whether there is one.
func (s *State) ChangeResult(id string) (crwire.Result, bool) {
	known, ok := s.recent[id]
	return known.Result, ok
}

// invalid answers a change with findings.
func invalid(found crdoc.Findings, version uint64) crwire.Result {
	return crwire.Result{Code: crwire.CodeInvalid, Version: version, Findings: found, Text: found.Error()}
}

// digestOf hashes a change without its author.
func digestOf(c *crwire.Change) string {
	plain := *c
	plain.Author = ""
	data, err := json.Marshal(plain)
	if err != nil {
		// Only plain data is in a change; it came by JSON.
		return err.Error()
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
