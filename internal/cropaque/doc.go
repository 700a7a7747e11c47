// Package cropaque decides about flows whose content the system doesn't read:
// which agent gets a new flow (Steering, on a balancer), which flows a backend
// server gets (Gate, on its agent), how the owner of a flow is found, and when
// a caller is reset because its flow is lost. The package opens no socket and
// reads no clock.
package cropaque

//go:generate enumer -type=FrameKind,Reason,ChoiceKind,Standing,Outcome -text -trimprefix=Frame,Reason,Choice,Standing,Outcome -transform=lower -output=enum_gen.go
