// Package crfeed distributes the configuration to daemons. A Source returns the
// changes between a given revision and the latest. A Follower polls sources and
// never returns to a lower revision.
package crfeed
