// Package croper is the operators' client.
package croper
