// Package croper is the operators' client: it sends changes to control and
// reads what is in force. It tries instances in turn, follows the leader, and
// sends a change again under the same ID after an answer was lost, so that
// the change is carried out once.
package croper
