// Package crspread chooses the server of a new flow from reports of load that are
// always a little old, while many others choose from reports of their own. The
// package opens no socket and reads no clock.
package crspread
