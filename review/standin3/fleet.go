// Command standin3 holds the stand-ins of the review's scripts: backend servers, clients,
// the platform's router and operator, and proxies before the control instances. It starts
// the project's own programs with the commands of the deploy file.
package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	portInternal  = 27720
	portDatagram  = 27172
	portReadiness = 27167
	portControl   = 27166
	portOutbound  = 27162
	portApp       = 27080
)

// fleet is a small deployment of real processes.
type fleet struct {
	dir    string
	subnet int
	// commands holds the run line of each role of the deploy file.
	commands map[string][]string
	procs    []*proc
	procsMu  sync.Mutex
	proxies  []*proxy
	// proxied is set if control instances stand behind proxies.
	proxied bool
	hosts   []*host
	claim   net.Listener
	rec     *recorder
	start   time.Time
	// seeds are the addresses that the settings name.
	seeds []string
	// deployZones are the zones of the settings.
	deployZones []string
	cuts        cutState
	wg          sync.WaitGroup
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
	// mute keeps the requests out of the record; orders and faults stay.
	lines int
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines++
	fmt.Fprintf(r.w, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun means that the case couldn't run.
type errCannotRun struct{ error }

func cannotRun(format string, args ...any) {
	panic(errCannotRun{fmt.Errorf(format, args...)})
}

var runLine = regexp.MustCompile(`(?ms)^\[roles\.(\w+)\]\s*$.*?^run = "([^"]+)"`)

// newFleet prepares an empty fleet.
func newFleet(rec *recorder, zones ...string) *fleet {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	f := &fleet{dir: dir, commands: map[string][]string{}, rec: rec, start: rec.start, deployZones: zones}
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		cannotRun("deploy file: %v", err)
	}
	for _, m := range runLine.FindAllStringSubmatch(string(data), -1) {
		f.commands[m[1]] = strings.Fields(m[2])
	}
	for _, role := range []string{"balancer", "control", "agent"} {
		if len(f.commands[role]) == 0 {
			cannotRun("the deploy file has no role %s", role)
		}
		if _, err := os.Stat(f.commands[role][0]); err != nil {
			cannotRun("the program isn't built: %v", err)
		}
	}
	for f.subnet = 30; f.subnet < 250; f.subnet++ {
		if f.claim, err = net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(1), portInternal)); err == nil {
			current = f
			return f
		}
	}
	cannotRun("no free loopback subnet")
	return nil
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", f.subnet, n) }

// routeHost returns the host of a route. It is a loopback address that nobody binds:
// packets of flows name it, and are sent to balancers.
func (f *fleet) routeHost(n int) string { return fmt.Sprintf("127.%d.6.%d", f.subnet, n) }

// routeAddr returns the address of a route.
func (f *fleet) routeAddr(n int) netip.AddrPort {
	return netip.MustParseAddrPort(f.routeHost(n) + ":8443")
}

// nameSeeds sets the seeds of settings files that are written from now on, three at most.
func (f *fleet) nameSeeds(controls []*proc) {
	f.seeds = nil
	for _, c := range controls[:min(3, len(controls))] {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", c.ip, portControl))
	}
}

// proc is a process of the project.
type proc struct {
	f                      *fleet
	role, name, zone, ip   string
	bind, service, dataDir string
	bootstrap              bool
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	done                   chan struct{}
	// restart is set while the platform restarts the process when it ends by itself.
	restart bool
	ended   int
}

func (f *fleet) addProc(role, zone string, n int) *proc {
	p := &proc{f: f, role: role, zone: zone, ip: f.ip(n), name: fmt.Sprintf("%s-%s-%d", role, zone, n), bootstrap: true}
	f.procsMu.Lock()
	defer f.procsMu.Unlock()
	f.procs = append(f.procs, p)
	return p
}

// addControl adds a control instance, which the settings name as a seed.
func (f *fleet) addControl(zone string, n int) *proc {
	p := f.addSpareControl(zone, n)
	f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", p.ip, portControl))
	return p
}

// addSpareControl adds a control instance, which the settings don't name. With proxied it
// stands behind a proxy.
func (f *fleet) addSpareControl(zone string, n int) *proc {
	p := f.addProc("control", zone, n)
	p.dataDir = filepath.Join(f.dir, p.name, "data")
	if f.proxied {
		p.bind = fmt.Sprintf("127.%d.9.%d", f.subnet, n)
		f.proxies = append(f.proxies, newProxy(f, p))
	}
	return p
}

func (p *proc) settings() string {
	zones := ""
	for _, z := range p.f.deployZones {
		zones += fmt.Sprintf("  %s: \"reg\"\n", z)
	}
	seeds := ""
	for _, s := range p.f.seeds {
		seeds += fmt.Sprintf("  - %q\n", s)
	}
	listen, class, more := "", "frontend", ""
	switch p.role {
	case "balancer":
		listen = fmt.Sprintf("  datagram_addr: \"%s:%d\"\n  readiness_addr: \"%s:%d\"\n", p.ip, portDatagram, p.ip, portReadiness)
	case "control":
		listen = fmt.Sprintf("  control: \"%s:%d\"\n", p.ip, portControl)
		more = fmt.Sprintf("data_dir: %q\n", p.dataDir)
	case "agent":
		class = "side"
		listen = fmt.Sprintf("  datagram_addr: \"%s:%d\"\n  readiness_addr: \"%s:%d\"\n  control: \"%s:%d\"\n  outbound: \"%s:%d\"\n",
			p.ip, portDatagram, p.ip, portReadiness, p.ip, portControl, p.ip, portOutbound)
		more = fmt.Sprintf("service: %q\napp: \"%s:%d\"\n", p.service, p.ip, portApp)
	}
	return fmt.Sprintf(`node_name: %q
role: %q
machine_class: %q
ip: %q
zone: %q
region: "reg"
zones:
%slisten:
%sport_range:
  - %d
  - %d
seeds:
%sbootstrap: %t
counts_as_loss: %t
limits: {cpu_share: 0.416, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 64}
discovery: "local"
entry: "announcement"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "flows", "places"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 4000, ack_ms: 5000, catch_up_s: 4, drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000, downgrade_slack_ms: 250, max_stretch_ms: 12000, cold_overage: 1.5, cold_slack: 5, evacuate_ms: 5000, recovery_s: 12, flow_reorder_ms: 2000, flow_max_s: 60}
config_mode: "highest"
hash_algorithm: "steady"
forwarding_mode: "agent"
%s`, p.name, p.role, class, p.ip, p.zone, zones, listen, portInternal, portInternal+15, seeds, p.bootstrap, p.role == "control", more)
}

// launch starts the process.
func (p *proc) launch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.launchLocked()
}

func (p *proc) launchLocked() {
	dir := filepath.Join(p.f.dir, p.name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		cannotRun("%v", err)
	}
	file := filepath.Join(dir, "node.yaml")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		cannotRun("%v", err)
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	args := append([]string(nil), p.f.commands[p.role]...)
	if p.bind != "" {
		args = append(args, "--bind", p.bind)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CARDAMOMRING_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
	p.cmd, p.restart, p.bootstrap = cmd, true, false
	done := make(chan struct{})
	p.done = done
	p.f.wg.Add(1)
	go func() {
		defer p.f.wg.Done()
		err := cmd.Wait()
		_ = out.Close()
		close(done)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.restart && p.cmd == cmd {
			p.ended++
			p.f.rec.logf("process %s ended by itself: %v", p.name, err)
			time.AfterFunc(500*time.Millisecond, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.restart && p.cmd == cmd {
					p.launchLocked()
				}
			})
		}
	}()
}

// stop sends a signal to the process and waits until it has ended.
func (p *proc) stop(sig syscall.Signal) {
	p.mu.Lock()
	p.restart = false
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		p.f.rec.logf("%s is killed after the grace", p.name)
		_ = cmd.Process.Kill()
		<-done
	}
}

// kill ends the process at once.
func (p *proc) kill() { p.stop(syscall.SIGKILL) }

func (p *proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// killAll ends all processes that the fleet started.
func (f *fleet) killAll() {
	f.procsMu.Lock()
	procs := append([]*proc(nil), f.procs...)
	f.procsMu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	f.killAll()
	f.wg.Wait()
	for _, h := range f.hosts {
		h.close()
	}
	for _, p := range f.proxies {
		p.close()
	}
	_ = f.claim.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

// together calls the functions at the same time and waits for all.
func together(fs ...func()) {
	var wg sync.WaitGroup
	for _, f := range fs {
		wg.Go(f)
	}
	wg.Wait()
}
