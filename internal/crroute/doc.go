// Package crroute selects the agents that a caller's datagram is forwarded to.
// It seals and opens connection IDs, which name the owning agent, and keeps
// weighted rendezvous tables for each service. The package is pure: it opens no
// socket and reads no clock.
package crroute

//go:generate enumer -type=Reason -text -trimprefix=Reason -transform=lower -output=enum_gen.go
