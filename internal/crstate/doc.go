// Package crstate is the state machine over the replicated log.
package crstate
