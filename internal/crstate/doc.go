// Package crstate is the state machine over the replicated log: service
// documents, availability zones, agents, claims of keyed requests and the
// audit trail. The same entries in the same order give the same state and
// replies on each instance. The package is pure: time comes from entries.
package crstate
