package main

import (
	"errors"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// timePattern matches the times of an audit trail.
var timePattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)

// maskTimes writes the last output to a file, with each time replaced by a fixed
// time of the same length.
func maskTimes(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: mask FILE")
	}
	text := timePattern.ReplaceAllString(ts.ReadFile("stdout"), "2026-01-01T00:00:00Z")
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// signals maps the names that scripts use to signals.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// sendSignal sends a signal to the background commands that have an argument.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal KILL|STOP|CONT WORD")
	}
	signalCommands(ts, signals[args[0]], args[1])
}

// signalCommands sends a signal to each running background command that has an argument.
func signalCommands(ts *testscript.TestScript, sig syscall.Signal, word string) {
	found := false
	for _, cmd := range ts.BackgroundCmds() {
		if !slices.Contains(cmd.Args, word) {
			continue
		}
		err := cmd.Process.Signal(sig)
		if errors.Is(err, os.ErrProcessDone) {
			continue
		}
		ts.Check(err)
		found = true
		if sig == syscall.SIGSTOP {
			ts.Defer(func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
		}
	}
	if !found {
		ts.Fatalf("no background command that runs has the argument %s", word)
	}
}

// countLines checks how many lines of files match a pattern.
func countLines(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: count PATTERN WANT FILE...")
	}
	re, err := regexp.Compile(args[0])
	ts.Check(err)
	n := 0
	for _, file := range args[2:] {
		for line := range strings.Lines(ts.ReadFile(file)) {
			if re.MatchString(strings.TrimRight(line, " \n")) {
				n++
			}
		}
	}
	if got := strconv.Itoa(n); got != args[1] {
		ts.Fatalf("%s lines match %s, want %s", got, args[0], args[1])
	}
}
