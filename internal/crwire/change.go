package crwire

import (
	"time"

	"cardamomring.dev/pkg/crdoc"
)

// Kind is what a log entry does.
type Kind int

const (
	// KindApply sets a service document, by compare-and-set on its version.
	KindApply Kind = iota
	// KindZoneOut takes an availability zone out of service.
	KindZoneOut
	// KindZoneIn brings it back.
	KindZoneIn
	// KindMembers sets the state of agents.
	KindMembers
	// KindClaims claims keyed requests.
	KindClaims
	// KindOutcomes records the outcomes of claimed requests.
	KindOutcomes
	// KindInstance changes who takes part in the replicated log.
	KindInstance
	// KindCatalog sets the catalog of opaque services; the highest version
	// wins.
	KindCatalog
	// KindRead changes nothing; once it is applied, the state holds whatever
	// was committed before it was proposed.
	KindRead
)

// Op is what is done to a control instance.
type Op int

const (
	// OpAdd admits an instance that receives the log and has no vote.
	OpAdd Op = iota
	// OpPromote gives it a vote as soon as it holds the log.
	OpPromote
	// OpRemove takes it out.
	OpRemove
)

// Instance is a change of a control instance.
type Instance struct {
	Op Op `json:"op"`
	// ID is the instance's number. At least 1.
	ID uint64 `json:"id"`
	// Address is its host:port, for OpAdd.
	Address string `json:"address,omitempty"`
}

// Code is how control answered a change.
type Code int

const (
	// CodeOK says that the change is committed.
	CodeOK Code = iota
	// CodeConflict says that another change won the version.
	CodeConflict
	// CodeInvalid says that the document has findings.
	CodeInvalid
	// CodeUnavailable says that no quorum answered: the change may or may
	// not be committed, and the same ID may be sent again.
	CodeUnavailable
	// CodeDenied says that the operator is not allowed to.
	CodeDenied
)

// Change is an operator's change.
type Change struct {
	// ID is chosen by the operator's client; the same ID gets the same answer.
	ID string `json:"id"`
	// Author is set by control from the operator's credentials.
	Author string `json:"author"`
	// Kind is KindApply, KindZoneOut, KindZoneIn or KindInstance.
	Kind Kind `json:"kind"`
	// Service is the document of KindApply.
	Service *crdoc.Service `json:"service,omitempty"`
	// Zone is the zone of KindZoneOut and KindZoneIn.
	Zone string `json:"zone,omitempty"`
	// Instance is the change of KindInstance.
	Instance *Instance `json:"instance,omitempty"`
	// Catalog is the catalog of KindCatalog.
	Catalog *crdoc.Catalog `json:"catalog,omitempty"`
	// Source is the catalog as the operator wrote it, for KindCatalog.
	Source []byte `json:"source,omitempty"`
}

// Result answers a change.
type Result struct {
	Code Code `json:"code"`
	// Revision is the revision that holds the change, or the one in force.
	Revision uint64 `json:"rev"`
	// Version is the document's version in force after the change.
	Version uint64 `json:"version,omitempty"`
	// Winner is the author of the change that won, on a conflict.
	Winner string `json:"winner,omitempty"`
	// Findings are what is wrong, on an invalid document.
	Findings []crdoc.Finding `json:"findings,omitempty"`
	// Leader is the leader's host:port, on an unavailable answer, if known.
	Leader string `json:"leader,omitempty"`
	// Text says it to people.
	Text string `json:"text,omitempty"`
}

// Unavailable is the body of a 503 answer of control.
type Unavailable struct {
	// Leader is the leader's host:port, empty when unknown.
	Leader string `json:"leader,omitempty"`
	// Text says what happened.
	Text string `json:"text"`
}

// Audit is one line of the audit trail.
type Audit struct {
	// Seq counts the lines from 1.
	Seq uint64 `json:"seq"`
	// Revision is the revision after the change.
	Revision uint64 `json:"rev"`
	// Time is the leader's clock when it proposed the change.
	Time time.Time `json:"time"`
	// Author is the operator.
	Author string `json:"author"`
	// ID is the change's ID.
	ID string `json:"id"`
	// Kind is what was asked.
	Kind Kind `json:"kind"`
	// Subject is the service or zone.
	Subject string `json:"subject"`
	// From and To are the versions before and after.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Code is how it was answered.
	Code Code `json:"code"`
	// Text says why it was refused.
	Text string `json:"text,omitempty"`
}
