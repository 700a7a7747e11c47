package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines; each machine has a loopback address of its own.
const (
	portInternal  = 27720
	portDatagram  = 27172
	portReadiness = 27167
	portControl   = 27166
	portOutbound  = 27162
	portApp       = 27080
)

// Shares of a core of the machines of glrrc-ledger: with a disk, without, and beside a
// host. They are only told to the processes.
const (
	shareDisk = 0.416
	shareThin = 0.088
	shareSide = 0.24
)

// Bounds of the settings, those of a small deployment.
const (
	ackLimit      = 5 * time.Second
	evacuateBound = 5 * time.Second
	contactTime   = 4 * time.Second
	maxStretch    = 12 * time.Second
	restartDelay  = 500 * time.Millisecond
	flowMax       = 60 * time.Second
)

// maxRun is how long a case may take.
const maxRun = 115 * time.Second

// site is a small deployment of real processes with stand-ins around it.
type site struct {
	ctx    context.Context
	cancel context.CancelFunc
	dir    string
	bin    string
	subnet int
	zones  []string
	// fronts are the frontend machines, controls those of them with a disk.
	fronts   []*machine
	controls []*machine
	sides    []*machine
	// sideCount counts the side machines, also those that are gone.
	sideCount int
	groups    []*clients
	start     time.Time
	wg        sync.WaitGroup

	mu   sync.Mutex
	rec  *os.File
	runs []run
	// cutFrom is the machine whose control process is cut from the others.
	cutFrom *machine
}

// machine is a machine of the site.
type machine struct {
	name, zone string
	ip, bind   netip.Addr
	service    string
	control    *process
	balancer   *process
	agent      *process
	host       *host
}

// process is one process of the system. The platform starts it again when it ends.
type process struct {
	s    *site
	m    *machine
	args []string

	mu        sync.Mutex
	cmd       *exec.Cmd
	wanted    bool
	bootstrap bool
	exits     int
}

// layout says how many machines a site has in each zone.
type layout struct {
	// thin is the number of frontend machines without a disk.
	thin int
	// proxies puts a proxy before each control process, which then listens on another
	// address.
	proxies bool
	// ledger and feed are the numbers of hosts of the two services, in the order of the
	// zones.
	ledger, feed [3]int
}

// newSite starts control and a balancer on one machine with a disk in each zone,
// balancers on thin machines, and agents with a host each on side machines.
func newSite(recordFile string, shape layout) (*site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	s := &site{bin: filepath.Join(root, "target", "crnode"), zones: []string{"za", "zb", "zc"}, start: time.Now()}
	if _, err := os.Stat(s.bin); err != nil {
		return nil, err
	}
	if s.rec, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.claimSubnet(); err != nil {
		return nil, err
	}
	for z, zone := range s.zones {
		m := &machine{name: "frontend-" + zone, zone: zone, ip: s.ip(z, 10), bind: s.ip(100+z, 10)}
		m.control = &process{s: s, m: m, args: []string{"control"}, bootstrap: true}
		if shape.proxies {
			m.control.args = append(m.control.args, "--bind", m.bind.String())
		}
		s.fronts, s.controls = append(s.fronts, m), append(s.controls, m)
		for n := range shape.thin {
			s.fronts = append(s.fronts, &machine{name: fmt.Sprintf("frontend-%s-%d", zone, n+2), zone: zone, ip: s.ip(z, 11+n)})
		}
		for range shape.ledger[z] {
			s.addSide(zone, "ledger")
		}
		for range shape.feed[z] {
			s.addSide(zone, "feed")
		}
	}
	for _, m := range s.fronts {
		m.balancer = &process{s: s, m: m, args: []string{"balancer", "--even-load"}, bootstrap: true}
	}
	for _, m := range s.controls {
		if !shape.proxies {
			break
		}
		from := fmt.Sprintf("%s:%d", m.ip, portInternal)
		if err := startProxy(s, m, from, fmt.Sprintf("%s:%d", m.bind, portInternal)); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// startAll starts the processes and the stand-ins. Everything ends at a signal or at
// maxRun.
func (s *site) startAll() error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	go func() {
		select {
		case <-ctx.Done():
			s.record("stopped early")
			s.stop()
			os.Exit(exitInvalid)
		case <-s.ctx.Done():
			cancel()
			release()
		}
	}()
	for _, p := range s.processes() {
		if err := p.launch(); err != nil {
			return err
		}
	}
	for _, m := range s.sides {
		if err := startHost(s, m); err != nil {
			return err
		}
	}
	for z, zone := range s.zones {
		c, err := startClients(s, zone, s.ip(200, 10+z))
		if err != nil {
			return err
		}
		s.groups = append(s.groups, c)
	}
	return nil
}

// addSide adds a machine with a host of a service.
func (s *site) addSide(zone, service string) *machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sideCount++
	n := s.sideCount
	m := &machine{name: fmt.Sprintf("side-%s-%d", zone, n), zone: zone, ip: s.ip(slices.Index(s.zones, zone), 30+n), service: service}
	m.agent = &process{s: s, m: m, args: []string{"agent", "--share-window", "1s"}, bootstrap: true}
	s.sides = append(s.sides, m)
	return m
}

// grow adds a machine with a host of a service while the site runs.
func (s *site) grow(zone, service string) error {
	m := s.addSide(zone, service)
	m.agent.bootstrap = false
	s.record("%s with a host of %s is added", m.name, service)
	if err := m.agent.launch(); err != nil {
		return err
	}
	return startHost(s, m)
}

// lose removes a side machine with its host for good.
func (s *site) lose(m *machine) {
	s.record("%s is lost with its host", m.name)
	m.host.crash()
	m.agent.mu.Lock()
	m.agent.wanted = false
	m.agent.mu.Unlock()
	m.agent.signal(syscall.SIGKILL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sides = slices.DeleteFunc(s.sides, func(other *machine) bool { return other == m })
}

// claimSubnet chooses a part of the loopback range that is free.
func (s *site) claimSubnet() error {
	for s.subnet = 41; s.subnet < 250; s.subnet++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(250, 1), portInternal))
		if err == nil {
			go func() { <-s.ctx.Done(); _ = l.Close() }()
			return nil
		}
	}
	return fmt.Errorf("no free part of the loopback range")
}

func (s *site) ip(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(s.subnet), byte(net), byte(n)})
}

func (s *site) processes() []*process {
	var out []*process
	for _, m := range s.fronts {
		if m.control != nil {
			out = append(out, m.control)
		}
		out = append(out, m.balancer)
	}
	for _, m := range s.sides {
		out = append(out, m.agent)
	}
	return out
}

// record writes a line with the time since the start.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.rec, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) addRun(r run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.record("host %s in %s runs request %s", r.host, r.zone, r.id)
}

// cut cuts the control process of a machine from the other ones, nil heals the cut.
func (s *site) cut(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutFrom = m
}

// isCut reports whether two control processes are cut from each other.
func (s *site) isCut(a, b *machine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutFrom != nil && a != nil && a != b && (a == s.cutFrom || b == s.cutFrom)
}

// settings returns the text of the settings file of a process.
func (p *process) settings() string {
	var seeds, zones []string
	for _, f := range p.s.controls {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.ip, portControl)))
	}
	for _, z := range p.s.zones {
		zones = append(zones, z+`: "r"`)
	}
	role, m := p.args[0], p.m
	share := shareSide
	switch {
	case m.control != nil:
		share = shareDisk
	case m.balancer != nil:
		share = shareThin
	}
	listen := map[string]string{
		"control":  fmt.Sprintf(`control: "%s:%d"`, m.ip, portControl),
		"balancer": fmt.Sprintf(`datagram_addr: "%s:%d", readiness_addr: "%s:%d"`, m.ip, portDatagram, m.ip, portReadiness),
		"agent": fmt.Sprintf(`datagram_addr: "%s:%d", readiness_addr: "%s:%d", outbound: "%s:%d", control: "%s:%d"`,
			m.ip, portDatagram, m.ip, portReadiness, m.ip, portOutbound, m.ip, portControl),
	}[role]
	text := fmt.Sprintf(`node_name: %q
role: %q
ip: %q
zone: %q
region: "r"
zones: {%s}
listen: {%s}
port_range: [%d, %d]
seeds: [%s]
bootstrap: %t
limits: {cpu_share: %g, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 64}
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "flows", "places"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 4000, ack_ms: 5000, catch_up_s: 4, drain_ms: 3000, grace_s: 6, config_apply_ms: 3000, downgrade_slack_ms: 250, max_stretch_ms: 12000, cold_overage: 1.5, cold_slack: 5, evacuate_ms: 5000, recovery_s: 12, flow_reorder_ms: 2000, flow_max_s: 60}
config_mode: "highest"
hash_algorithm: "steady"
forwarding_mode: "agent"
`, m.name, role, m.ip, m.zone, strings.Join(zones, ", "), listen, portInternal, portInternal+15, strings.Join(seeds, ", "), p.bootstrap, share)
	switch role {
	case "control":
		text += fmt.Sprintf("data_dir: %q\n", filepath.Join(p.s.dir, m.name, "data"))
	case "agent":
		text += fmt.Sprintf("app: \"%s:%d\"\nservice: %q\n", m.ip, portApp, m.service)
	}
	return text
}

// launch starts the process with the command of the deploy file.
func (p *process) launch() error {
	dir := filepath.Join(p.s.dir, p.m.name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return err
	}
	file := filepath.Join(dir, p.args[0]+".yaml")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, p.args[0]+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.s.bin, p.args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.s.dir, "CARDAMOMRING_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.wanted = cmd, true
	p.s.wg.Add(1)
	go p.wait(cmd, out)
	return nil
}

// wait starts the process again after it has ended.
func (p *process) wait(cmd *exec.Cmd, out *os.File) {
	defer p.s.wg.Done()
	err := cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	p.exits++
	wanted := p.wanted
	p.bootstrap = false
	p.mu.Unlock()
	if !wanted {
		return
	}
	p.s.record("%s %s ended: %v", p.m.name, p.args[0], err)
	time.Sleep(restartDelay)
	p.mu.Lock()
	wanted = p.wanted
	p.mu.Unlock()
	if wanted {
		if err := p.launch(); err != nil {
			p.s.record("%s %s doesn't start: %v", p.m.name, p.args[0], err)
		}
	}
}

// pid returns the process's ID, 0 if it doesn't run.
func (p *process) pid() int {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// stop ends all processes and removes their folder.
func (s *site) stop() {
	for _, p := range s.processes() {
		p.mu.Lock()
		p.wanted = false
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	s.wg.Wait()
	s.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}
