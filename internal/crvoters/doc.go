// Package crvoters decides which control instances vote. It answers machines that are
// replaced, as planned or without notice, and disks that are lost right afterwards: an
// instance that is gone for good must not count towards the quorum when the next disk
// is lost, because then nobody could remove it any more.
//
// The package does no I/O and reads no clock.
package crvoters

//go:generate enumer -type=Op -trimprefix=Op -transform=lower -output=enum_gen.go
