// Package crwire defines the messages between the system's own processes:
// members, views and deltas of the configuration, changes, announcements,
// claims, envelopes for datagrams, and the headers of a run call. The package
// does no I/O and reads no clock.
package crwire

//go:generate enumer -type=MemberState,Kind,Code,Outcome,Verdict,EnvelopeKind,Op -text -trimprefix=Member,Kind,Code,Outcome,Verdict,Envelope,Op -transform=lower -output=enum_gen.go
