// Package crstore keeps the replicated log on disk.
package crstore
