// Package crdoc defines the documents that configure the system: service
// documents, process settings and the catalog of opaque services. It decodes
// service documents and settings strictly and reports every finding with its
// position in the file. It opens no sockets and reads no clock; files are read
// through functions that callers pass in.
package crdoc

//go:generate enumer -type=Protocol,Reply,Format,Role,Kind -text -trimprefix=Protocol,Reply,Format,Role,Kind -transform=lower -output=enum_gen.go
