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

// awaitMax bounds how long a script waits for changes.
const awaitMax = 2 * time.Minute

// editorKey finds a script's scriptState.
type editorKey struct{}

// editor edits one document again and again: each change is made from the
// version that the one before got. A change that was accepted and is lost
// makes the next one a conflict.
type editor struct {
	client *croper.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

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

// counted returns how many changes were accepted.
func (c *editor) counted() (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted, c.err
}

// startChanges begins to edit a document.
func startChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: start-changes FILE HOST:PORT,...")
	}
	doc, err := crdoc.ParseService([]byte(ts.ReadFile(args[0])), nil)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	c := &editor{client: &croper.Client{Control: strings.Split(args[1], ",")}, cancel: cancel}
	c.client.Open()
	c.done.Go(func() { c.run(ctx, *doc) })
	ts.Defer(func() {
		cancel()
		c.done.Wait()
		c.client.Close()
	})
	scriptChanges(ts).current = c
}

// awaitChanges waits for a number of further accepted changes.
func awaitChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: await-changes N")
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	c := scriptChanges(ts).current
	from, err := c.counted()
	ts.Check(err)
	end := time.Now().Add(awaitMax)
	for {
		now, err := c.counted()
		ts.Check(err)
		if now >= from+n {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%d of %d changes were accepted", now-from, n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// stopChanges ends the changes and checks that what is in force holds all
// that were accepted.
func stopChanges(ts *testscript.TestScript, neg bool, args []string) {
	cancelChanges(ts, neg, nil)
	checkChanges(ts, neg, args)
}

// cancelChanges ends the changes.
func cancelChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: cancel-changes")
	}
	c := scriptChanges(ts).current
	c.cancel()
	c.done.Wait()
	_, err := c.counted()
	ts.Check(err)
}

// checkChanges checks that every accepted change is in force.
func checkChanges(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: check-changes SERVICE")
	}
	c := scriptChanges(ts).current
	accepted, err := c.counted()
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), awaitMax)
	defer cancel()
	view, err := c.client.View(ctx)
	ts.Check(err)
	// The last change may be in force without its answer.
	if version := view.Services[args[0]].Version; version != accepted && version != accepted+1 {
		ts.Fatalf("version %d is in force after %d accepted changes", version, accepted)
	}
}

// scriptState is what a script runs beside its commands.
type scriptState struct {
	current *editor
	polls   *polls
}

// scriptChanges returns a script's state.
func scriptChanges(ts *testscript.TestScript) *scriptState {
	state, ok := ts.Value(editorKey{}).(*scriptState)
	if !ok {
		ts.Fatalf("the script has no state")
	}
	return state
}

// polls ask one control instance for its feed as processes that start do.
type polls struct {
	addr   string
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	stale int
	// lowest is the lowest revision of an answer that wasn't stale.
	lowest uint64
	fresh  int
}

// run polls until ctx ends.
func (p *polls) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.poll(ctx)
	}
}

// poll asks once.
func (p *polls) poll(ctx context.Context) {
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
		p.stale++
		return
	}
	if p.fresh == 0 || feed.Revision < p.lowest {
		p.lowest = feed.Revision
	}
	p.fresh++
}

// startPolls begins to poll an instance.
func startPolls(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: start-polls HOST:PORT")
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &polls{addr: args[0], cancel: cancel}
	for range 20 {
		p.done.Go(func() { p.run(ctx) })
	}
	ts.Defer(func() {
		cancel()
		p.done.Wait()
	})
	scriptChanges(ts).polls = p
}

// stopPolls checks that some answers were stale and that no other one was of
// a lower revision.
func stopPolls(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: stop-polls LOWEST")
	}
	want, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	p := scriptChanges(ts).polls
	p.cancel()
	p.done.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	ts.Logf("%d stale answers, %d fresh ones of revision %d or more", p.stale, p.fresh, p.lowest)
	if p.stale == 0 {
		ts.Fatalf("no answer was stale")
	}
	if p.fresh > 0 && p.lowest < want {
		ts.Fatalf("an answer that wasn't stale held revision %d, want %d or more", p.lowest, want)
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
		var given []string
		for _, arg := range args[2:] {
			given = append(given, strings.ReplaceAll(arg, "%d", strconv.Itoa(i+1)))
		}
		cmds[i] = exec.Command(program, given...)
		cmds[i].Dir, cmds[i].Env = ts.MkAbs("."), env
		cmds[i].Stdout, cmds[i].Stderr = &outs[i], &errs[i]
	}
	for _, cmd := range cmds {
		ts.Check(cmd.Start())
	}
	for i, cmd := range cmds {
		// Those who lose exit with 1.
		_ = cmd.Wait()
		out.Write(outs[i].Bytes())
		errOut.Write(errs[i].Bytes())
	}
	ts.Check(os.WriteFile(ts.MkAbs("race.out"), out.Bytes(), 0o644))
	ts.Check(os.WriteFile(ts.MkAbs("race.err"), errOut.Bytes(), 0o644))
}
