// Package crdoc holds the documents that people write: service documents and
// process settings. It decodes them strictly and reports every finding with
// its place. The package is pure: it opens no socket and reads no clock.
package crdoc

//go:generate enumer -type=Protocol,Reply,Format,Role,Kind -text -trimprefix=Protocol,Reply,Format,Role,Kind -transform=lower -output=enum_gen.go
