// Package crquorum replicates a log over control instances in the manner of
// the Raft paper: terms, elections with pre-vote, commit by quorum, learners,
// and membership changes one instance at a time. A vote or an acknowledgement
// counts for an instance together with the incarnation of its disk, so an
// instance that lost its disk counts as another one until a configuration
// entry admits it again. The package is pure: messages and ticks go in,
// effects come out.
package crquorum

//go:generate enumer -type=Kind,EntryKind,Role -text -trimprefix=Kind,Entry,Role -transform=lower -output=enum_gen.go
