// Package crstore stores the replicated log of one instance on disk, in a single
// file of checksummed frames. A lock file keeps other processes out of the data
// folder. A write is durable when it has been synced. On opening, a torn tail is
// truncated; any other damage is reported with the file and the offset. After a
// failed write or sync the store rejects all further writes, and the instance
// must stop.
package crstore
