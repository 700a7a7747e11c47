// Package cradmit decides which request runs when on one backend server: an
// adaptive concurrency limit, classes with headroom and preemption, a bounded
// queue ordered by deadline, a retry budget and passive ejection. The package
// is pure: time comes as an argument and decisions leave by function fields.
package cradmit

//go:generate enumer -type=Result,Reason -text -trimprefix=Result,Reason -transform=lower -output=enum_gen.go
