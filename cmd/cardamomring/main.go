// Command cardamomring is a layer-4 load balancer for rare priority traffic.
package main

import (
	"os"
)

// version is the version of this build.
const version = "0.1.0"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
