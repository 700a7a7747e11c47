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

// stepDuration is how long a scenario runs after each step.
const stepDuration = 2 * time.Second

// scenario is a small deployment of one customer with its callers.
type scenario struct {
	t            *testing.T
	d            *crtrial.Deployment
	backends     []*crfake.Backend
	zoneByAgent  map[string]string
	callerGroups map[string]*crtrial.CallerGroup
	startedAt    time.Time
	// zonesTakenOut lists the zones that were taken out of service, in order.
	// Flows owned by agents in these zones may break.
	zonesTakenOut []string
}

// serviceTimes are the service times of backend servers. They differ because a
// customer buys servers over several years.
var serviceTimes = []time.Duration{32 * time.Millisecond, 16 * time.Millisecond, 8 * time.Millisecond}

// backendParallelism is how many requests a backend server processes at once.
const backendParallelism = 4

// newService returns a service with a priority class for keyed posts and two
// routine classes.
func newService(name, customer string, zones []string) *crdoc.Service {
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

// startScenario starts control instances, one balancer per zone, and agents;
// services maps each service to its number of agents.
func startScenario(t *testing.T, zones []string, services map[string]int, docs ...*crdoc.Service) *scenario {
	t.Helper()
	sc := &scenario{t: t, zoneByAgent: map[string]string{}, callerGroups: map[string]*crtrial.CallerGroup{}}
	sc.d = &crtrial.Deployment{
		Dir: t.TempDir(), Zones: zones, Services: docs, ControlInstances: 3, MaxDelay: 3 * time.Millisecond, Seed: 1,
		Logf: func(string, ...any) {},
	}
	sc.must(sc.d.Start(context.Background()))
	t.Cleanup(func() { sc.must(sc.d.Close()) })
	for i, zone := range zones {
		sc.must(sc.d.StartBalancer(fmt.Sprint("balancer-", i), zone))
	}
	for _, doc := range docs {
		for i := range services[doc.Name] {
			sc.startAgent(doc.Name, i, zones[i%len(zones)])
		}
	}
	sc.startedAt = time.Now()
	return sc
}

// startAgent starts a backend server and its agent.
func (sc *scenario) startAgent(service string, i int, zone string) {
	sc.t.Helper()
	name := fmt.Sprint(service, "-", i)
	b := &crfake.Backend{
		Addr: "127.0.0.1:0", Name: name,
		Switches: crfake.Switches{ServiceTime: crdoc.Duration(serviceTimes[i%len(serviceTimes)]), Parallel: backendParallelism},
	}
	sc.must(b.Start())
	sc.t.Cleanup(func() { _ = b.Close() })
	sc.backends = append(sc.backends, b)
	sc.zoneByAgent[name] = zone
	sc.must(sc.d.StartAgent(crtrial.AgentOptions{
		Name: name, Service: service, Zone: zone, Host: name, Backend: b.Bound(), Weight: 1,
	}))
}

// must fails the test on an error.
func (sc *scenario) must(err error) {
	sc.t.Helper()
	if err != nil {
		sc.t.Fatal(err)
	}
}

func (sc *scenario) startCallers(name, service string, callers int, pause time.Duration, newRequest func(n int) crtrial.Request) {
	sc.t.Helper()
	c := &crtrial.CallerGroup{Deployment: sc.d, Service: service, Callers: callers, Pause: pause, NewRequest: newRequest}
	sc.must(c.Start())
	sc.callerGroups[name] = c
}

// keyedPosts returns a generator of keyed POST requests. The keys start with
// the name of the caller group.
func keyedPosts(group string) func(n int) crtrial.Request {
	return func(n int) crtrial.Request {
		key := fmt.Sprintf("%s-%d", group, n)
		return crtrial.Request{Method: "POST", Path: "/posts", Key: key, Body: []byte(key)}
	}
}

// getRequests returns a generator of GET requests for a path.
func getRequests(path string) func(int) crtrial.Request {
	return func(int) crtrial.Request { return crtrial.Request{Method: "GET", Path: path} }
}

// runStep runs an action and lets the scenario continue for stepDuration.
func (sc *scenario) runStep(description string, action func() error) {
	sc.t.Helper()
	sc.t.Logf("%5.1fs %s", time.Since(sc.startedAt).Seconds(), description)
	sc.must(action())
	time.Sleep(stepDuration)
}

// setZoneOut returns an action that takes a zone out of service or brings it
// back.
func (sc *scenario) setZoneOut(zone string, out bool) func() error {
	if out {
		sc.zonesTakenOut = append(sc.zonesTakenOut, zone)
	}
	return func() error { return sc.d.SetZoneOut(context.Background(), zone, out) }
}

// restartBalancers restarts the balancers one after another.
func (sc *scenario) restartBalancers() error {
	for i, zone := range sc.d.Zones {
		name := fmt.Sprint("balancer-", i)
		if err := sc.d.StopBalancer(name); err != nil {
			return err
		}
		if err := sc.d.StartBalancer(name, zone); err != nil {
			return err
		}
	}
	return nil
}

// raceOperators lets ten operators change the same version of a document
// concurrently: one change must succeed, and nine must get a conflict.
func (sc *scenario) raceOperators(doc *crdoc.Service) error {
	codes := make([]crwire.Code, 10)
	errs := make([]error, len(codes))
	var wg sync.WaitGroup
	for i := range codes {
		wg.Go(func() {
			rival := *doc
			rival.Limit.Max = doc.Limit.Max + i + 1
			result, err := sc.d.ApplyKeepingVersion(context.Background(), &rival)
			var conflict *croper.ConflictError
			if !errors.As(err, &conflict) {
				errs[i] = err
			}
			codes[i] = result.Code
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	slices.Sort(codes)
	sc.t.Logf("ten operators on one version: %v", codes)
	want := []crwire.Code{crwire.CodeOK}
	for range len(codes) - 1 {
		want = append(want, crwire.CodeConflict)
	}
	if diff := cmp.Diff(want, codes); diff != "" {
		sc.t.Errorf("response codes of ten operators (-want +got):\n%s", diff)
	}
	return nil
}

// makeCold returns an action that makes a backend server cold without an
// announcement.
func (sc *scenario) makeCold(i int) func() error {
	return func() error {
		s := sc.backends[i].State().Switches
		s.ColdCapacity, s.WarmUp, s.DownTime = 2*backendParallelism, crdoc.Duration(2*stepDuration), crdoc.Duration(stepDuration/4)
		sc.backends[i].Set(s)
		return nil
	}
}

// finish stops the callers, logs their results, and checks that no flow broke
// outside the zones taken out of service and that keyed requests ran as reported.
func (sc *scenario) finish() {
	sc.t.Helper()
	names := make([]string, 0, len(sc.callerGroups))
	for name := range sc.callerGroups {
		names = append(names, name)
	}
	slices.Sort(names)
	final := map[string]crwire.Outcome{}
	broken := 0
	for _, name := range names {
		stats := sc.callerGroups[name].Stop()
		sc.logStats(name, stats)
		for body, outcome := range stats.FinalOutcomes {
			final[body] = outcome
		}
		for _, b := range stats.BrokenFlows {
			if !slices.Contains(sc.zonesTakenOut, sc.zoneByAgent[b.Agent]) {
				broken++
				sc.t.Errorf("a flow of %s at %s broke: %v", name, b.Agent, b.Err)
			}
		}
	}
	sc.t.Logf("broken flows outside zones that were out: %d", broken)
	sc.checkExactlyOnce(final)
	sc.logUtilization()
}

// logStats logs the results of one group of callers.
func (sc *scenario) logStats(name string, stats crtrial.CallerStats) {
	slices.Sort(stats.Latencies)
	percentile := func(p float64) time.Duration {
		if len(stats.Latencies) == 0 {
			return 0
		}
		return stats.Latencies[int(p*float64(len(stats.Latencies)-1))].Round(100 * time.Microsecond)
	}
	sc.t.Logf("%-8s requests %d, done %d, notrun %d, unknown %d, flows broken %d; p50 %v p99 %v",
		name, stats.Requests, stats.Done, stats.Notrun, stats.Unknown, len(stats.BrokenFlows), percentile(0.5), percentile(0.99))
	if len(stats.Reasons) > 0 {
		sc.t.Logf("%-8s not done, by reason: %v", name, stats.Reasons)
	}
	var line strings.Builder
	for _, s := range stats.PerSecond {
		fmt.Fprintf(&line, " %d/%d", s.Done, s.Requests)
	}
	sc.t.Logf("%-8s done/requests by second:%s", name, line.String())
}

// checkExactlyOnce compares the outcomes of keyed requests with the runs that
// the backend servers counted. No request may have run twice, every request
// reported as done must have run, and no request reported as notrun may have run.
func (sc *scenario) checkExactlyOnce(final map[string]crwire.Outcome) {
	runs := map[string]int{}
	for _, b := range sc.backends {
		for body, n := range b.Runs() {
			runs[body] += n
		}
	}
	repeated, lost, falseRefusals, unknown := 0, 0, 0, 0
	for body, outcome := range final {
		n := runs[body]
		switch {
		case n > 1:
			repeated++
		case outcome == crwire.OutcomeDone && n == 0:
			lost++
		case outcome == crwire.OutcomeNotrun && n > 0:
			falseRefusals++
		case outcome == crwire.OutcomeUnknown:
			unknown++
		}
	}
	sc.t.Logf("keyed requests %d: ran more than once %d, done but never ran %d, refused but ran %d, outcome unknown %d",
		len(final), repeated, lost, falseRefusals, unknown)
	if diff := cmp.Diff([]int{0, 0, 0}, []int{repeated, lost, falseRefusals}); diff != "" {
		sc.t.Errorf("keyed requests that ran more than once, were done but never ran, were refused but ran (-want +got):\n%s", diff)
	}
}

// logUtilization logs how evenly the backend servers were used. The utilization
// of a server is the share of time that its slots were busy.
func (sc *scenario) logUtilization() {
	elapsed := time.Since(sc.startedAt).Seconds()
	services := map[string][]float64{}
	for _, b := range sc.backends {
		total := 0
		for _, n := range b.Runs() {
			total += n
		}
		service, _, _ := strings.Cut(b.Name, "-")
		use := float64(total) * b.State().Switches.ServiceTime.D().Seconds() / (backendParallelism * elapsed)
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
		sc.t.Logf("%s: utilization mean %.3f, max/mean %.2f, coefficient of variation %.2f",
			service, mean, slices.Max(uses)/mean, math.Sqrt(squares/float64(len(uses)))/mean)
	}
}

// TestEveningConsortium guards against broken flows and lost or repeated keyed
// requests when a burst of priority requests coincides with zone changes,
// restarts of balancers and control instances, and a cold backend server.
func TestEveningConsortium(t *testing.T) {
	zones := []string{"neng-a", "neng-b", "neng-c"}
	ledger := newService("loftbook", "consortium", zones)
	press := newService("pedigreepress", "consortium", zones)
	sc := startScenario(t, zones, map[string]int{"loftbook": 6, "pedigreepress": 3}, ledger, press)
	sc.startCallers("lookup", "loftbook", 16, 10*time.Millisecond, getRequests("/bands"))
	sc.startCallers("pedigree", "pedigreepress", 8, 20*time.Millisecond, getRequests("/sheets"))
	sc.startCallers("clocking", "loftbook", 2, 100*time.Millisecond, keyedPosts("clocking"))
	sc.runStep("routine traffic", func() error { return nil })
	sc.runStep("the burst of clockings begins", func() error {
		sc.startCallers("burst", "loftbook", 12, 10*time.Millisecond, keyedPosts("burst"))
		return nil
	})
	sc.runStep("neng-b is taken out during the burst", sc.setZoneOut("neng-b", true))
	sc.runStep("every balancer is restarted in turn while neng-b is out", sc.restartBalancers)
	sc.runStep("neng-b comes back", sc.setZoneOut("neng-b", false))
	sc.runStep("neng-b is taken out again", sc.setZoneOut("neng-b", true))
	sc.runStep("neng-b comes back again", sc.setZoneOut("neng-b", false))
	sc.runStep("ten operators race", func() error { return sc.raceOperators(ledger) })
	sc.runStep("a backend server turns cold", sc.makeCold(0))
	sc.runStep("control-3 stops", func() error { return sc.d.Stop("control-3") })
	sc.runStep("control-3 is started again; control-1 stops", func() error {
		if err := sc.d.StartControl(3); err != nil {
			return err
		}
		return sc.d.Stop("control-1")
	})
	sc.finish()
}

// TestEveningSpaarvarken guards against broken flows and lost or repeated keyed
// requests when a sudden load of short reads, beside keyed posts and long reads,
// coincides with a cold backend server, a zone change, restarts of balancers and
// the stop of a control instance.
func TestEveningSpaarvarken(t *testing.T) {
	zones := []string{"leuven-a", "leuven-b", "gent-a", "gent-b"}
	core := newService("spaarpotcore", "spaarvarken", zones)
	statements := newService("afschrift", "spaarvarken", zones)
	sc := startScenario(t, zones, map[string]int{"spaarpotcore": 8, "afschrift": 4}, core, statements)
	sc.startCallers("deposit", "spaarpotcore", 4, 50*time.Millisecond, keyedPosts("deposit"))
	sc.startCallers("bulk", "afschrift", 8, 20*time.Millisecond, getRequests("/bulk/statement"))
	sc.runStep("deposits and statements", func() error { return nil })
	sc.runStep("a burst of balance reads begins", func() error {
		sc.startCallers("balance", "spaarpotcore", 32, 5*time.Millisecond, getRequests("/balance"))
		return nil
	})
	sc.runStep("a backend server turns cold", sc.makeCold(1))
	sc.runStep("gent-b is taken out", sc.setZoneOut("gent-b", true))
	sc.runStep("every balancer is restarted in turn", sc.restartBalancers)
	sc.runStep("gent-b comes back", sc.setZoneOut("gent-b", false))
	sc.runStep("control-2 stops", func() error { return sc.d.Stop("control-2") })
	sc.runStep("ten operators race", func() error { return sc.raceOperators(core) })
	sc.finish()
}
