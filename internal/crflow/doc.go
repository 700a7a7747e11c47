// Package crflow holds the flow table of an agent.
package crflow
