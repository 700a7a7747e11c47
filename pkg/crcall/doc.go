// Package crcall is the callers' client.
package crcall
