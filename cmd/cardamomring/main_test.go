package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the scripts run this test binary as cardamomring.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cardamomring": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}
