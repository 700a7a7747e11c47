// Command standin plays the cases of the review that are scripts. It starts the
// project's processes, stands in for hosts, clients, the operator and the platform, and
// judges what they have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// cases are the scripts by name. Each file of a case adds its own.
var cases = map[string]func(recordFile string, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitInvalid)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitInvalid
	}
	os.Exit(code)
}
