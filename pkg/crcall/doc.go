// Package crcall is the client library for callers of services. It sends requests
// over HTTP/3 and reports for each whether it ran, did not run or may have run.
// Within the deadline, it retries requests that did not run, and retries a
// request with an idempotency key under the same key when its outcome is unknown.
package crcall

//go:generate enumer -type=Outcome -text -trimprefix=Outcome -transform=lower -output=enum_gen.go
