package crwire

import (
	"time"

	"cardamomring.dev/pkg/crdoc"
)

// Kind is the type of a log entry.
type Kind int

const (
	// KindApply sets a service document by compare-and-set on its version.
	KindApply Kind = iota
	// KindZoneOut takes an availability zone out of service.
	KindZoneOut
	// KindZoneIn returns an availability zone to service.
	KindZoneIn
	// KindMembers sets the state of agents.
	KindMembers
	// KindClaims claims keyed requests.
	KindClaims
	// KindOutcomes records the outcomes of claimed requests.
	KindOutcomes
	// KindInstance changes the control instances of the replicated log.
	KindInstance
	// KindCatalog sets the catalog of opaque services. The highest version
	// wins.
	KindCatalog
	// KindRead changes nothing. Once it is applied, the state includes
	// everything that was committed before the entry was proposed.
	KindRead
	// KindExpire removes the former services of routes, and the revisions at which
	// agents joined, once no flow can be open that is older.
	KindExpire
)

// Op is an operation on a control instance.
type Op int

const (
	// OpAdd adds an instance that receives the log without a vote.
	OpAdd Op = iota
	// OpPromote makes an instance a voter as soon as it has caught up with the
	// log.
	OpPromote
	// OpRemove removes an instance.
	OpRemove
)

// Instance is an operation on one control instance.
type Instance struct {
	Op Op `json:"op"`
	// ID is the instance's number, at least 1.
	ID uint64 `json:"id"`
	// Address is the instance's host:port, for OpAdd.
	Address string `json:"address,omitempty"`
}

// Code is the result code of a change.
type Code int

const (
	// CodeOK means that the change is committed.
	CodeOK Code = iota
	// CodeConflict means that another change to the same version was committed
	// first.
	CodeConflict
	// CodeInvalid means that the document has findings.
	CodeInvalid
	// CodeUnavailable means that no quorum answered. The change may or may not
	// be committed; retrying with the same ID is safe.
	CodeUnavailable
	// CodeDenied means that the operator is not authorized.
	CodeDenied
)

// Change is a change submitted by an operator.
type Change struct {
	// ID is chosen by the operator's client. A retry with the same ID gets the
	// same result.
	ID string `json:"id"`
	// Author is set by control from the operator's credentials.
	Author string `json:"author"`
	// Kind is KindApply, KindZoneOut, KindZoneIn, KindInstance or KindCatalog.
	Kind Kind `json:"kind"`
	// Service is the document of KindApply.
	Service *crdoc.Service `json:"service,omitempty"`
	// Zone is the availability zone of KindZoneOut and KindZoneIn.
	Zone string `json:"zone,omitempty"`
	// Base is the version of the zone for which KindZoneOut and KindZoneIn were
	// ordered. The order is refused once another order about the zone was committed
	// after it. Control answers an order without Base with the version in force.
	Base *uint64 `json:"base,omitempty"`
	// Instance is the operation of KindInstance.
	Instance *Instance `json:"instance,omitempty"`
	// Catalog is the catalog of KindCatalog.
	Catalog *crdoc.Catalog `json:"catalog,omitempty"`
	// Source is the text of the catalog that the operator submitted, for
	// KindCatalog.
	Source []byte `json:"source,omitempty"`
}

// Result is the response to a change.
type Result struct {
	Code Code `json:"code"`
	// Revision is the revision that contains the change, or else the current
	// revision.
	Revision uint64 `json:"rev"`
	// Version is the current version of the document or the zone after the change.
	Version uint64 `json:"version,omitempty"`
	// Winner is the author of the change that was committed first, on
	// CodeConflict.
	Winner string `json:"winner,omitempty"`
	// Findings lists the errors in the document, on CodeInvalid.
	Findings []crdoc.Finding `json:"findings,omitempty"`
	// Leader is the leader's host:port, if known, on CodeUnavailable.
	Leader string `json:"leader,omitempty"`
	// Text is a message for the operator.
	Text string `json:"text,omitempty"`
}

// Unavailable is the body of a 503 response of control.
type Unavailable struct {
	// Leader is the leader's host:port, or empty if unknown.
	Leader string `json:"leader,omitempty"`
	// Text describes the error.
	Text string `json:"text"`
}

// Audit is one entry of the audit trail.
type Audit struct {
	// Seq numbers the entries from 1.
	Seq uint64 `json:"seq"`
	// Revision is the revision after the change.
	Revision uint64 `json:"rev"`
	// Time is when the leader proposed the change, by the leader's clock.
	Time time.Time `json:"time"`
	// Author is the operator.
	Author string `json:"author"`
	// ID is the change's ID.
	ID string `json:"id"`
	// Kind is the kind of the change.
	Kind Kind `json:"kind"`
	// Subject is the name of the service or zone, "catalog", or the operation
	// and ID of a control instance, such as "add-4".
	Subject string `json:"subject"`
	// From and To are the versions before and after the change.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Code is the result of the change.
	Code Code `json:"code"`
	// Text is the reason why the change was rejected.
	Text string `json:"text,omitempty"`
}
