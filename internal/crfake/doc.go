// Package crfake provides fakes for tests and the demo: a backend server with
// configurable faults, and a network that distributes datagrams over balancers
// at random.
package crfake

//go:generate enumer -type=Fault -text -trimprefix=Fault -transform=lower -output=enum_gen.go
