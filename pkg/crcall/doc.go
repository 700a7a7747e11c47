// Package crcall is the callers' client. It sends requests over HTTP/3, says
// truthfully what became of each, repeats what has not run within the
// deadline, and sends a keyed request again under the same key when its
// outcome is unknown.
package crcall

//go:generate enumer -type=Outcome -text -trimprefix=Outcome -transform=lower -output=enum_gen.go
