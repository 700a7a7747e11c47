// Package cropaque decides about flows that the system carries without
// reading them: which agent a new flow is offered to (Steering, on a
// balancer), what a backend server is given (Gate, on its agent), how the
// owner of a flow is found, and when a caller is told that its flow is lost.
// It opens no socket and reads no clock.
package cropaque

//go:generate enumer -type=FrameKind,Reason -text -trimprefix=Frame,Reason -transform=lower -output=enum_gen.go
