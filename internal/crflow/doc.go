// Package crflow holds the flows of one agent: which callers it serves, which
// it has passed on and to whom, and the way back to each. The package is
// pure: it opens no socket and reads no clock.
package crflow

//go:generate enumer -type=Action -text -trimprefix=Action -transform=lower -output=enum_gen.go
