// Package cregress decides what leaves a balancer on its entry link and when, so
// that long transfers neither overrun the link nor delay urgent frames. Queue paces
// the packets of transfers, and Turns decides how many transfers are open at once.
// The package opens no socket and reads no clock.
package cregress

import "net/netip"

//go:generate enumer -type=DropReason,Verdict -text -trimprefix=Drop,Verdict -transform=lower -output=enum_gen.go

// Flow identifies a flow by its caller and the address that the caller sends to.
type Flow struct {
	Caller, Service netip.AddrPort
}
