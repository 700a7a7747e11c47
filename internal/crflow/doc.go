// Package crflow tracks the flows of one agent: the flows that it owns, the
// opening flows that it has forwarded to other agents, and the return address
// for each caller. The package opens no socket and reads no clock.
package crflow

//go:generate enumer -type=Action -text -trimprefix=Action -transform=lower -output=enum_gen.go
