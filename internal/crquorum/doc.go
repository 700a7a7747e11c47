// Package crquorum replicates a log over control instances.
package crquorum
