// Package crstore keeps the replicated log of one instance on disk: one file
// of checksummed frames in a data folder that one process at a time uses. A
// write counts once it is synced. A torn tail is cut; damage before the last
// synced frame is refused, naming the file and the offset. After a failed
// write or sync the store refuses everything: the instance must stop.
package crstore
