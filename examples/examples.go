// Package examples holds the service documents of the two customers that the
// demo and the documentation use.
package examples

import "embed"

// Services are the service documents, in one folder for each customer.
//
//go:embed consortium spaarvarken
var Services embed.FS

// Zones are the availability zones of both customers.
var Zones = []string{"neng-a", "neng-b", "neng-c", "leuven-a", "leuven-b", "gent-a", "gent-b"}
