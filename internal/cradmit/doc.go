// Package cradmit decides which request runs when.
package cradmit
