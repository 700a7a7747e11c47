// Package crquorum implements the Raft consensus algorithm for the replicated
// log of the control instances: terms, elections with pre-vote, commit by
// quorum, learners, and membership changes of one instance at a time.
//
// Each disk has a random incarnation number. Votes and acknowledgements are
// valid only together with the incarnation in the current configuration. An
// instance that has lost its disk therefore has no vote until a configuration
// entry admits its new disk.
//
// The package does no I/O and reads no clock. Its inputs are messages and
// ticks, its outputs are Effects.
package crquorum

//go:generate enumer -type=Kind,EntryKind,Role -text -trimprefix=Kind,Entry,Role -transform=lower -output=enum_gen.go
