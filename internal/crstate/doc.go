// Package crstate implements the state machine that is replicated by the log:
// service documents, availability zones, agents, claims of idempotency keys and
// the audit trail. It is deterministic: applying the same entries in the same
// order yields the same state and replies on every instance. The current time
// is taken from the entries.
package crstate
