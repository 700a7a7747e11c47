// Package crfake holds small fakes for tests and the demo: a backend server
// and a fabric that sprays datagrams over balancers.
package crfake

//go:generate enumer -type=Fault -text -trimprefix=Fault -transform=lower -output=enum_gen.go
