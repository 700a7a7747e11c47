// Package crroute decides which agents a caller's datagram goes to: it seals
// and opens connection IDs that name their agent, and keeps the weighted
// tables of each service. The package is pure: it opens no socket and reads
// no clock.
package crroute

//go:generate enumer -type=Reason -text -trimprefix=Reason -transform=lower -output=enum_gen.go
