package main

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// portsPerScript is the number of free ports that each script gets.
const portsPerScript = 24

// TestScripts runs each scenario of testdata/script. $PORT1, $PORT2, ... are
// free loopback ports; in *.json files of the archive they are written
// ${PORT1}. The commands besides those of testscript are:
//
//	wait-http STATUS URL [PATTERN]
//	                          polls until the status and the body match
//	http METHOD URL [FILE]    sends one request, prints status and body
//	load PREFIX N URL...      sends N requests, each with its own body
//	start-load, wait-load     the same in the background of the script
//	expect-status N PROGRAM ARG...
//	                          runs a program that must exit with this code
//	term WORD                 sends SIGTERM to the background commands with this argument
//	mask FILE                 writes the last output with its times masked
//	signal KILL|STOP|CONT WORD
//	                          signals the background commands with this argument
//	count PATTERN WANT FILE...
//	                          checks the number of lines that match
//	start-changes FILE HOST:PORT,...
//	                          edits a document through control repeatedly
//	await-changes N           waits until N more changes were accepted
//	cancel-changes            stops editing
//	check-changes SERVICE     checks that every accepted change is in force
//	stop-changes SERVICE      does cancel-changes and check-changes
//	start-polls HOST:PORT     polls the feed of a control instance
//	stop-polls REVISION       checks that only stale answers had a lower revision
//	rivals FILE N             writes N differing versions of a document: rival1.json, ...
//	race N PROGRAM ARG...     runs a program N times at once; %d stands for the run's number
//	sum PATTERN WANT FILE...  checks the sum of the first groups of all matches
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "script"),
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		UpdateScripts:       os.Getenv("UPDATE_SCRIPTS") != "",
		Setup:               setUpScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"wait-http":      waitHTTP,
			"http":           sendHTTP,
			"load":           load,
			"start-load":     startLoad,
			"wait-load":      waitLoad,
			"expect-status":  expectStatus,
			"term":           sendTerm,
			"sum":            sum,
			"mask":           maskTimes,
			"signal":         sendSignal,
			"count":          countLines,
			"start-changes":  startChanges,
			"await-changes":  awaitChanges,
			"stop-changes":   stopChanges,
			"cancel-changes": cancelChanges,
			"check-changes":  checkChanges,
			"start-polls":    startPolls,
			"stop-polls":     stopPolls,
			"rivals":         writeRivals,
			"race":           race,
		},
	})
}

// setUpScript reserves the ports of a script and writes them into its files.
func setUpScript(env *testscript.Env) error {
	env.Values[loadKey{}] = new(*loadCounter)
	env.Values[scriptStateKey{}] = new(scriptState)
	values := map[string]string{}
	for i := range portsPerScript {
		port, release, err := reservePort()
		if err != nil {
			return err
		}
		env.Defer(release)
		name := "PORT" + strconv.Itoa(i+1)
		values[name] = strconv.Itoa(port)
		env.Setenv(name, values[name])
	}
	files, err := filepath.Glob(filepath.Join(env.WorkDir, "*.json"))
	if err != nil {
		return err
	}
	nested, err := filepath.Glob(filepath.Join(env.WorkDir, "*", "*.json"))
	if err != nil {
		return err
	}
	for _, file := range append(files, nested...) {
		if err := expandFile(file, values); err != nil {
			return err
		}
	}
	return nil
}

// expandFile replaces ${NAME} by its value.
func expandFile(file string, values map[string]string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	text := os.Expand(string(data), func(name string) string { return values[name] })
	return os.WriteFile(file, []byte(text), 0o644)
}
