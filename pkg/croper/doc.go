// Package croper is the client library for operators: it sends changes to control
// and reads the configuration in force. It tries the instances in turn and
// follows the leader. After a lost response it resends a change under the same
// ID, so that the change is applied only once.
package croper
