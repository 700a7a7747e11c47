// Package crfeed carries the configuration to daemons.
package crfeed
