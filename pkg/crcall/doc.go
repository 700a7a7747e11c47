// Package crcall is the client library for callers of services. It sends requests
// over HTTP/3 and reports for each whether it ran, did not run or may have run.
// Within the deadline, it retries requests that did not run. It retries a request
// with an unknown outcome only if the request is repeatable or has an idempotency
// key, which each attempt sends again.
package crcall

//go:generate enumer -type=Outcome -text -trimprefix=Outcome -transform=lower -output=enum_gen.go
