package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router is the platform's fabric in one zone: it probes the balancers twice a second and
// hashes flows over those in rotation, so that only the flows of a balancer that leaves move.
type router struct {
	f         *fleet
	balancers []*proc
	mu        sync.Mutex
	misses    map[*proc]int
	in        map[*proc]bool
}

func newRouter(f *fleet, balancers ...*proc) *router {
	return &router{f: f, balancers: balancers, misses: map[*proc]int{}, in: map[*proc]bool{}}
}

// probe probes all balancers once.
func (r *router) probe() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	r.mu.Lock()
	list := append([]*proc(nil), r.balancers...)
	r.mu.Unlock()
	for _, b := range list {
		wg.Go(func() {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", b.ip, portReadiness))
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if ok {
				r.misses[b], r.in[b] = 0, true
			} else if r.misses[b]++; r.misses[b] >= 2 {
				r.in[b] = false
			}
		})
	}
	wg.Wait()
}

func (r *router) loop(quit <-chan struct{}) {
	for {
		r.probe()
		select {
		case <-time.After(500 * time.Millisecond):
		case <-quit:
			return
		}
	}
}

func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.balancers {
		if r.in[b] {
			n++
		}
	}
	return n
}

// pick returns the balancer for a flow.
func (r *router) pick(k flowKey) *proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*proc
	for _, b := range r.balancers {
		if r.in[b] {
			list = append(list, b)
		}
	}
	if 2*len(list) < len(r.balancers) {
		list = r.balancers
	}
	var best *proc
	var top uint64
	for _, b := range list {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s|%s|%s", k.client, k.route, b.name)
		if s := h.Sum64(); best == nil || s > top {
			best, top = b, s
		}
	}
	return best
}

// clients is one client machine: an address, whose ports are the flows' ends.
type clients struct {
	f      *fleet
	router *router
	ip     netip.Addr
	conn   *net.UDPConn
	mu     sync.Mutex
	flows  map[netip.AddrPort]*clientFlow
	port   uint16
	sent   map[string]bool
	// answered counts requests by outcome.
	answered, failed, refused int
	// resets holds the resets of the system's own that ended open flows.
	resets []string
	forged int
}

type clientFlow struct {
	c      *clients
	key    flowKey
	in     chan packet
	seq    uint32
	ack    uint32
	open   bool
	serial int
}

func newClients(f *fleet, r *router, n int) *clients {
	ip := netip.MustParseAddr(fmt.Sprintf("127.%d.8.%d", f.subnet, n))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagram)))
	if err != nil {
		cannotRun("client: %v", err)
	}
	c := &clients{f: f, router: r, ip: ip, conn: conn, flows: map[netip.AddrPort]*clientFlow{}, port: 20000, sent: map[string]bool{}}
	go c.receive()
	return c
}

func (c *clients) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		fl := c.flows[p.dst]
		if !genuine(buf[:n]) && !(p.sum == 0 && p.flags == flagRST && len(p.data) == 0) {
			c.forged++
			c.f.rec.logf("client %s got a packet that its sender didn't write so", p.dst)
		}
		c.mu.Unlock()
		if fl != nil && fl.key.route == p.src {
			select {
			case fl.in <- p:
			default:
			}
		}
	}
}

// newFlow returns a flow from a new port.
func (c *clients) newFlow(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	if c.port < 20000 {
		c.port = 20000
	}
	k := flowKey{client: netip.AddrPortFrom(c.ip, c.port), route: route}
	fl := &clientFlow{c: c, key: k, in: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[k.client] = fl
	return fl
}

func (fl *clientFlow) forget() {
	fl.c.mu.Lock()
	defer fl.c.mu.Unlock()
	delete(fl.c.flows, fl.key.client)
}

// send sends a packet to the balancer that the router picks.
func (fl *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	b := fl.c.router.pick(fl.key)
	if b == nil {
		return
	}
	p := packet{src: fl.key.client, dst: fl.key.route, flags: flags, seq: seq, ack: ack, data: data}
	_, _ = fl.c.conn.WriteToUDPAddrPort(p.encode(), netip.MustParseAddrPort(fmt.Sprintf("%s:%d", b.ip, portDatagram)))
}

// wait waits for a packet that match accepts.
func (fl *clientFlow) wait(d time.Duration, match func(p packet) bool) (packet, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case p := <-fl.in:
			if match(p) {
				return p, true
			}
		case <-t.C:
			return packet{}, false
		}
	}
}

// dial opens the flow. ok is false if it was reset or not answered within 1.4 s.
func (fl *clientFlow) dial() (ok bool) {
	for i, d := range []time.Duration{200, 400, 800} {
		fl.send(flagSYN, fl.seq, uint32(i), nil)
		p, got := fl.wait(d*time.Millisecond, func(p packet) bool {
			return p.has(flagRST) || p.has(flagSYN) && p.has(flagACK) && p.ack == fl.seq+1
		})
		if got {
			fl.seq++
			fl.ack, fl.open = p.seq+1, !p.has(flagRST)
			return fl.open
		}
	}
	return false
}

// request sends a request on an open flow and returns the answer's body.
func (fl *clientFlow) request(id string, deadline time.Duration) (body string, outcome string) {
	fl.c.mu.Lock()
	fl.c.sent[id] = true
	fl.c.mu.Unlock()
	data := []byte(fmt.Sprintf("GET /x HTTP/1.1\r\nHost: r\r\nAttempt-Id: %s\r\n\r\n", id))
	end := time.Now().Add(deadline)
	pause := 200 * time.Millisecond
	for time.Now().Before(end) {
		fl.send(flagACK, fl.seq, fl.ack, data)
		p, got := fl.wait(min(pause, time.Until(end)), func(p packet) bool {
			switch {
			case p.has(flagRST) && p.sum == 0:
				if diff := int32(p.seq - fl.ack); diff > -resetWindow && diff < resetWindow {
					return true
				}
				fl.c.f.rec.logf("flow %s: a reset with a seq that doesn't fit", fl.key.client)
				return false
			case p.has(flagRST):
				return true
			}
			return len(p.data) > 0 && p.seq == fl.ack
		})
		pause = min(2*pause, 1600*time.Millisecond)
		if !got {
			continue
		}
		if p.has(flagRST) {
			fl.open = false
			if p.sum == 0 {
				return "", "reset by the system"
			}
			return "", "reset by the host"
		}
		fl.seq += uint32(len(data))
		fl.ack = p.seq + uint32(len(p.data))
		fl.send(flagACK, fl.seq, fl.ack, nil)
		_, body, _ := strings.Cut(string(p.data), "\r\n\r\n")
		return body, "answered"
	}
	return "", "deadline"
}

// finish ends the flow.
func (fl *clientFlow) finish() {
	fl.send(flagFIN|flagACK, fl.seq, fl.ack, nil)
	fl.forget()
}
