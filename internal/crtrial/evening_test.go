package crtrial_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crtrial"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// phase is how long each part of an evening lasts.
const phase = 2 * time.Second

// evening is one customer's deployment in miniature and its callers.
type evening struct {
	t        *testing.T
	d        *crtrial.Deployment
	backends []*crfake.Backend
	zoneOf   map[string]string
	crowds   map[string]*crtrial.CallerGroup
	began    time.Time
	// outs are the zones that were taken out, in order.
	outs []string
}

// speeds are the service times of backend servers, bought over years.
var speeds = []time.Duration{32 * time.Millisecond, 16 * time.Millisecond, 8 * time.Millisecond}

// slots is how many requests one backend server works on at once.
const slots = 4

// document returns a service with a priority class for keyed posts and two
// routine classes.
func document(name, customer string, zones []string) *crdoc.Service {
	return &crdoc.Service{
		Name: name, Customer: customer, Zones: zones,
		Limit: crdoc.Limit{Start: 2, Max: 32, Headroom: 0.25},
		Classes: []crdoc.Class{
			{
				Name: "post", Priority: true, Deadline: crdoc.Duration(5 * time.Second),
				Match: []crdoc.Match{{Method: "POST", Prefix: "/"}},
			},
			{
				Name: "view", Weight: 3, Repeatable: true, Deadline: crdoc.Duration(5 * time.Second),
				Match: []crdoc.Match{{Method: "GET", Prefix: "/"}},
			},
			{
				Name: "bulk", Weight: 1, Repeatable: true, Deadline: crdoc.Duration(5 * time.Second),
				Match: []crdoc.Match{{Method: "GET", Prefix: "/bulk"}},
			},
		},
		OutcomeRetention: crdoc.Duration(time.Hour), Grace: crdoc.Duration(5 * time.Second),
	}
}

// startEvening starts control, a balancer in each zone, and agents.
func startEvening(t *testing.T, zones []string, services map[string]int, docs ...*crdoc.Service) *evening {
	t.Helper()
	e := &evening{t: t, zoneOf: map[string]string{}, crowds: map[string]*crtrial.CallerGroup{}}
	e.d = &crtrial.Deployment{
		Dir: t.TempDir(), Zones: zones, Services: docs, ControlInstances: 3, MaxDelay: 3 * time.Millisecond, Seed: 1,
		Logf: func(string, ...any) {},
	}
	e.must(e.d.Start(context.Background()))
	t.Cleanup(func() { e.must(e.d.Close()) })
	for i, zone := range zones {
		e.must(e.d.StartBalancer(fmt.Sprint("balancer-", i), zone))
	}
	for _, doc := range docs {
		for i := range services[doc.Name] {
			e.startAgent(doc.Name, i, zones[i%len(zones)])
		}
	}
	e.began = time.Now()
	return e
}

// startAgent starts a backend server and its agent.
func (e *evening) startAgent(service string, i int, zone string) {
	e.t.Helper()
	name := fmt.Sprint(service, "-", i)
	b := &crfake.Backend{
		Addr: "127.0.0.1:0", Name: name,
		Switches: crfake.Switches{ServiceTime: crdoc.Duration(speeds[i%len(speeds)]), Parallel: slots},
	}
	e.must(b.Start())
	e.t.Cleanup(func() { _ = b.Close() })
	e.backends = append(e.backends, b)
	e.zoneOf[name] = zone
	e.must(e.d.StartAgent(crtrial.AgentOptions{
		Name: name, Service: service, Zone: zone, Host: name, Backend: b.Bound(), Weight: 1,
	}))
}

// must ends the test on an error.
func (e *evening) must(err error) {
	e.t.Helper()
	if err != nil {
		e.t.Fatal(err)
	}
}

// crowd starts callers.
func (e *evening) crowd(name, service string, flows int, pause time.Duration, makeRequest func(n int) crtrial.Request) {
	e.t.Helper()
	c := &crtrial.CallerGroup{Deployment: e.d, Service: service, Callers: flows, Pause: pause, NewRequest: makeRequest}
	e.must(c.Start())
	e.crowds[name] = c
}

// post returns keyed posts of a crowd.
func post(crowd string) func(n int) crtrial.Request {
	return func(n int) crtrial.Request {
		key := fmt.Sprintf("%s-%d", crowd, n)
		return crtrial.Request{Method: "POST", Path: "/posts", Key: key, Body: []byte(key)}
	}
}

// get returns requests of a path.
func get(path string) func(int) crtrial.Request {
	return func(int) crtrial.Request { return crtrial.Request{Method: "GET", Path: path} }
}

// event carries something out and lets the evening go on for a phase.
func (e *evening) event(what string, do func() error) {
	e.t.Helper()
	e.t.Logf("%5.1fs %s", time.Since(e.began).Seconds(), what)
	e.must(do())
	time.Sleep(phase)
}

// zone takes a zone out or in.
func (e *evening) zone(zone string, out bool) func() error {
	if out {
		e.outs = append(e.outs, zone)
	}
	return func() error { return e.d.SetZoneOut(context.Background(), zone, out) }
}

// restartBalancers restarts each balancer in turn.
func (e *evening) restartBalancers() error {
	for i, zone := range e.d.Zones {
		name := fmt.Sprint("balancer-", i)
		if err := e.d.StopBalancer(name); err != nil {
			return err
		}
		if err := e.d.StartBalancer(name, zone); err != nil {
			return err
		}
	}
	return nil
}

// race lets ten operators change one version at the same time.
func (e *evening) race(doc *crdoc.Service) error {
	codes := make([]crwire.Code, 10)
	errs := make([]error, len(codes))
	var group sync.WaitGroup
	for i := range codes {
		group.Go(func() {
			rival := *doc
			rival.Limit.Max = doc.Limit.Max + i + 1
			result, err := e.d.ApplyWithoutUpdate(context.Background(), &rival)
			var lost *croper.ConflictError
			if !errors.As(err, &lost) {
				errs[i] = err
			}
			codes[i] = result.Code
		})
	}
	group.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	slices.Sort(codes)
	e.t.Logf("ten operators on one version: %v", codes)
	want := []crwire.Code{crwire.CodeOK}
	for range len(codes) - 1 {
		want = append(want, crwire.CodeConflict)
	}
	if diff := cmp.Diff(want, codes); diff != "" {
		e.t.Errorf("answers to ten operators (-want +got):\n%s", diff)
	}
	return nil
}

// turnCold makes a backend server cold without notice.
func (e *evening) turnCold(i int) func() error {
	return func() error {
		s := e.backends[i].State().Switches
		s.ColdCapacity, s.WarmUp, s.DownTime = 2*slots, crdoc.Duration(2*phase), crdoc.Duration(phase/4)
		e.backends[i].Set(s)
		return nil
	}
}

// end stops the callers, prints the figures and checks what must hold.
func (e *evening) end() {
	e.t.Helper()
	names := make([]string, 0, len(e.crowds))
	for name := range e.crowds {
		names = append(names, name)
	}
	slices.Sort(names)
	final := map[string]crwire.Outcome{}
	broken := 0
	for _, name := range names {
		tally := e.crowds[name].Stop()
		e.print(name, tally)
		for body, outcome := range tally.FinalOutcomes {
			final[body] = outcome
		}
		for _, b := range tally.BrokenFlows {
			if !slices.Contains(e.outs, e.zoneOf[b.Agent]) {
				broken++
				e.t.Errorf("a flow of %s at %s broke: %v", name, b.Agent, b.Err)
			}
		}
	}
	e.t.Logf("broken flows outside zones that were out: %d", broken)
	e.checkOnce(final)
	e.printBalance()
}

// print prints one crowd's figures.
func (e *evening) print(name string, t crtrial.CallerStats) {
	slices.Sort(t.Latencies)
	at := func(p float64) time.Duration {
		if len(t.Latencies) == 0 {
			return 0
		}
		return t.Latencies[int(p*float64(len(t.Latencies)-1))].Round(100 * time.Microsecond)
	}
	e.t.Logf("%-8s asked %d, done %d, notrun %d, unknown %d, flows broken %d; p50 %v p99 %v",
		name, t.Requests, t.Done, t.Notrun, t.Unknown, len(t.BrokenFlows), at(0.5), at(0.99))
	if len(t.Reasons) > 0 {
		e.t.Logf("%-8s not done, by reason: %v", name, t.Reasons)
	}
	var line strings.Builder
	for _, s := range t.PerSecond {
		fmt.Fprintf(&line, " %d/%d", s.Done, s.Requests)
	}
	e.t.Logf("%-8s done of asked by second:%s", name, line.String())
}

// checkOnce compares what callers of keyed requests were told with what the
// backend servers counted.
func (e *evening) checkOnce(final map[string]crwire.Outcome) {
	runs := map[string]int{}
	for _, b := range e.backends {
		for body, n := range b.Runs() {
			runs[body] += n
		}
	}
	doubled, vanished, untrue, unknown := 0, 0, 0, 0
	for body, outcome := range final {
		n := runs[body]
		switch {
		case n > 1:
			doubled++
		case outcome == crwire.OutcomeDone && n == 0:
			vanished++
		case outcome == crwire.OutcomeNotrun && n > 0:
			untrue++
		case outcome == crwire.OutcomeUnknown:
			unknown++
		}
	}
	e.t.Logf("keyed requests %d: doubled %d, vanished %d, untrue refusals %d, still unknown %d",
		len(final), doubled, vanished, untrue, unknown)
	if diff := cmp.Diff([]int{0, 0, 0}, []int{doubled, vanished, untrue}); diff != "" {
		e.t.Errorf("doubled, vanished, untrue (-want +got):\n%s", diff)
	}
}

// printBalance prints how evenly the backend servers were used: the share of
// time that their slots were busy.
func (e *evening) printBalance() {
	elapsed := time.Since(e.began).Seconds()
	services := map[string][]float64{}
	for _, b := range e.backends {
		total := 0
		for _, n := range b.Runs() {
			total += n
		}
		service, _, _ := strings.Cut(b.Name, "-")
		use := float64(total) * b.State().Switches.ServiceTime.D().Seconds() / (slots * elapsed)
		services[service] = append(services[service], use)
	}
	for service, uses := range services {
		sum, squares := 0.0, 0.0
		for _, u := range uses {
			sum += u
		}
		mean := sum / float64(len(uses))
		for _, u := range uses {
			squares += (u - mean) * (u - mean)
		}
		e.t.Logf("%s: utilisation mean %.3f, max/mean %.2f, coefficient of variation %.2f",
			service, mean, slices.Max(uses)/mean, math.Sqrt(squares/float64(len(uses)))/mean)
	}
}

// TestEveningConsortium has few priority requests until a burst.
func TestEveningConsortium(t *testing.T) {
	zones := []string{"neng-a", "neng-b", "neng-c"}
	ledger := document("loftbook", "consortium", zones)
	press := document("pedigreepress", "consortium", zones)
	e := startEvening(t, zones, map[string]int{"loftbook": 6, "pedigreepress": 3}, ledger, press)
	e.crowd("lookup", "loftbook", 16, 10*time.Millisecond, get("/bands"))
	e.crowd("pedigree", "pedigreepress", 8, 20*time.Millisecond, get("/sheets"))
	e.crowd("clocking", "loftbook", 2, 100*time.Millisecond, post("clocking"))
	e.event("routine traffic", func() error { return nil })
	e.event("the burst of clockings begins", func() error {
		e.crowd("burst", "loftbook", 12, 10*time.Millisecond, post("burst"))
		return nil
	})
	e.event("neng-b is taken out during the burst", e.zone("neng-b", true))
	e.event("every balancer is restarted in turn meanwhile", e.restartBalancers)
	e.event("neng-b comes back", e.zone("neng-b", false))
	e.event("neng-b is taken out again", e.zone("neng-b", true))
	e.event("neng-b comes back again", e.zone("neng-b", false))
	e.event("ten operators race", func() error { return e.race(ledger) })
	e.event("a backend server turns cold", e.turnCold(0))
	e.event("a control instance stops", func() error { return e.d.Stop("control-3") })
	e.event("it comes back; another stops", func() error {
		if err := e.d.StartControl(3); err != nil {
			return err
		}
		return e.d.Stop("control-1")
	})
	e.end()
}

// TestEveningSpaarvarken has a load of short reads that begins at once, beside
// keyed posts and long reads.
func TestEveningSpaarvarken(t *testing.T) {
	zones := []string{"leuven-a", "leuven-b", "gent-a", "gent-b"}
	core := document("spaarpotcore", "spaarvarken", zones)
	statements := document("afschrift", "spaarvarken", zones)
	e := startEvening(t, zones, map[string]int{"spaarpotcore": 8, "afschrift": 4}, core, statements)
	e.crowd("deposit", "spaarpotcore", 4, 50*time.Millisecond, post("deposit"))
	e.crowd("bulk", "afschrift", 8, 20*time.Millisecond, get("/bulk/statement"))
	e.event("deposits and statements", func() error { return nil })
	e.event("a lesson begins", func() error {
		e.crowd("balance", "spaarpotcore", 32, 5*time.Millisecond, get("/balance"))
		return nil
	})
	e.event("a backend server turns cold", e.turnCold(1))
	e.event("gent-b is taken out", e.zone("gent-b", true))
	e.event("every balancer is restarted in turn", e.restartBalancers)
	e.event("gent-b comes back", e.zone("gent-b", false))
	e.event("a control instance stops", func() error { return e.d.Stop("control-2") })
	e.event("ten operators race", func() error { return e.race(core) })
	e.end()
}
