// Package crfeed carries the configuration to daemons: a Source answers with
// what leads from one revision to the latest, a Follower polls sources and
// never goes back to a lower revision.
package crfeed
