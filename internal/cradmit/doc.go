// Package cradmit is the admission control of an agent. It decides when each
// request may run on the backend server, using an adaptive concurrency limit,
// request classes with headroom and preemption, and a bounded queue ordered by
// deadline. It also chooses other agents for forwards and retries, with a
// retry budget and passive ejection of failing agents.
//
// The package does no I/O and reads no clock: callers pass in the time, and
// decisions are reported through function fields.
package cradmit

//go:generate enumer -type=Result,Reason -text -trimprefix=Result,Reason -transform=lower -output=enum_gen.go
