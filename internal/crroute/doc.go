// Package crroute builds routing tables and routable connection IDs.
package crroute
