package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// changeTimeout limits each wait of a script for changes.
const changeTimeout = 2 * time.Minute

// scriptStateKey is the key of a script's scriptState.
type scriptStateKey struct{}

// editor edits one document repeatedly. Each change starts from the version of the
// change before it, so that a lost change makes the next one a conflict.
type editor struct {
	client *croper.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	accepted uint64
	err      error
}

// run edits the document until ctx ends.
func (c *editor) run(ctx context.Context, doc crdoc.Service) {
	for ctx.Err() == nil {
		doc.Limit.Max++
		result, err := c.client.Apply(ctx, &doc)
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		if err == nil && result.Version != doc.Version+1 {
			err = fmt.Errorf("version %d after %d", result.Version, doc.Version)
		}
		if err != nil {
			c.err = err
			c.mu.Unlock()
			return
		}
		c.accepted++
		c.mu.Unlock()
		doc.Version = result.Version
	}
}

// acceptedChanges returns how many changes were accepted, and the error that ended
// the editor if there was one.
func (c *editor) acceptedChanges() (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted, c.err
}

// startChanges starts to edit a document repeatedly.
func startChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: start-changes FILE HOST:PORT,...")
	}
	doc, err := crdoc.ParseService([]byte(ts.ReadFile(args[0])), nil)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	c := &editor{client: &croper.Client{Control: strings.Split(args[1], ",")}, cancel: cancel}
	c.client.Open()
	c.wg.Go(func() { c.run(ctx, *doc) })
	ts.Defer(func() {
		cancel()
		c.wg.Wait()
		c.client.Close()
	})
	stateOf(ts).editor = c
}

// awaitChanges waits until a number of further changes have been accepted.
func awaitChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: await-changes N")
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	c := stateOf(ts).editor
	before, err := c.acceptedChanges()
	ts.Check(err)
	end := time.Now().Add(changeTimeout)
	for {
		now, err := c.acceptedChanges()
		ts.Check(err)
		if now >= before+n {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%d of %d changes were accepted", now-before, n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// stopChanges stops the changes and checks that every accepted change is in force.
func stopChanges(ts *testscript.TestScript, neg bool, args []string) {
	cancelChanges(ts, neg, nil)
	checkChanges(ts, neg, args)
}

// cancelChanges stops the changes.
func cancelChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: cancel-changes")
	}
	c := stateOf(ts).editor
	c.cancel()
	c.wg.Wait()
	_, err := c.acceptedChanges()
	ts.Check(err)
}

// checkChanges checks that every accepted change is in force.
func checkChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: check-changes SERVICE")
	}
	c := stateOf(ts).editor
	accepted, err := c.acceptedChanges()
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	view, err := c.client.View(ctx)
	ts.Check(err)
	// The last change may be in force although its answer was not received.
	if version := view.Services[args[0]].Version; version != accepted && version != accepted+1 {
		ts.Fatalf("version %d is in force after %d accepted changes", version, accepted)
	}
}

// scriptState holds the background work of a script.
type scriptState struct {
	editor *editor
	poller *feedPoller
}

// stateOf returns a script's state.
func stateOf(ts *testscript.TestScript) *scriptState {
	state, ok := ts.Value(scriptStateKey{}).(*scriptState)
	if !ok {
		ts.Fatalf("the script has no state")
	}
	return state
}

// feedPoller polls the feed of one control instance like processes that start.
type feedPoller struct {
	addr   string
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	staleAnswers int
	// lowestRevision is the lowest revision of an answer that wasn't stale.
	lowestRevision uint64
	freshAnswers   int
}

// run polls until ctx ends.
func (p *feedPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.poll(ctx)
	}
}

// poll sends one request and counts the answer.
func (p *feedPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/feed?after=0", http.NoBody)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var feed crwire.Feed
	if json.NewDecoder(resp.Body).Decode(&feed) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if feed.Stale {
		p.staleAnswers++
		return
	}
	if p.freshAnswers == 0 || feed.Revision < p.lowestRevision {
		p.lowestRevision = feed.Revision
	}
	p.freshAnswers++
}

// startPolls starts to poll a control instance.
func startPolls(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: start-polls HOST:PORT")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &feedPoller{addr: args[0], cancel: cancel}
	for range 20 {
		p.wg.Go(func() { p.run(ctx) })
	}
	ts.Defer(func() {
		cancel()
		p.wg.Wait()
	})
	stateOf(ts).poller = p
}

// stopPolls stops the polls. It checks that some answers were stale and that no
// other answer had a revision below the given one.
func stopPolls(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: stop-polls REVISION")
	}
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	p := stateOf(ts).poller
	p.cancel()
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	ts.Logf("%d stale answers, %d fresh ones of revision %d or more", p.staleAnswers, p.freshAnswers, p.lowestRevision)
	if p.staleAnswers == 0 {
		ts.Fatalf("no answer was stale")
	}
	if p.freshAnswers > 0 && p.lowestRevision < want {
		ts.Fatalf("an answer that wasn't stale held revision %d, want %d or more", p.lowestRevision, want)
	}
}

// writeRivals writes documents that differ from one another.
func writeRivals(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: rivals FILE N")
	}
	doc, err := crdoc.ParseService([]byte(ts.ReadFile(args[0])), nil)
	ts.Check(err)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range n {
		doc.Limit.Max += i + 1
		data, err := json.Marshal(doc)
		ts.Check(err)
		file := ts.MkAbs("rival" + strconv.Itoa(i+1) + ".json")
		ts.Check(os.WriteFile(file, data, 0o644))
	}
}

// race runs a program n times at once, with the number for each %d, and
// writes what the processes print to race.out and race.err.
func race(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: race N PROGRAM ARG...")
	}
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	program := filepath.Join(strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator))[0], args[1])
	env := []string{"CARDAMOMRING_CONTROL=" + ts.Getenv("CARDAMOMRING_CONTROL")}
	var out, errOut bytes.Buffer
	cmds := make([]*exec.Cmd, n)
	outs, errs := make([]bytes.Buffer, n), make([]bytes.Buffer, n)
	for i := range cmds {
		var cmdArgs []string
		for _, arg := range args[2:] {
			cmdArgs = append(cmdArgs, strings.ReplaceAll(arg, "%d", strconv.Itoa(i+1)))
		}
		cmds[i] = exec.Command(program, cmdArgs...)
		cmds[i].Dir, cmds[i].Env = ts.MkAbs("."), env
		cmds[i].Stdout, cmds[i].Stderr = &outs[i], &errs[i]
	}
	for _, cmd := range cmds {
		ts.Check(cmd.Start())
	}
	for i, cmd := range cmds {
		// Processes that lose the race exit with 1.
		_ = cmd.Wait()
		out.Write(outs[i].Bytes())
		errOut.Write(errs[i].Bytes())
	}
	ts.Check(os.WriteFile(ts.MkAbs("race.out"), out.Bytes(), 0o644))
	ts.Check(os.WriteFile(ts.MkAbs("race.err"), errOut.Bytes(), 0o644))
}
