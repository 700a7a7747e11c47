package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two readiness probes, missesAllowed how many
	// misses take a balancer out of rotation.
	probeInterval = 500 * time.Millisecond
	missesAllowed = 2
	// openTimeout is how long a client waits for its flow to open, defaultDeadline how
	// long it waits for an answer.
	openTimeout     = 1400 * time.Millisecond
	defaultDeadline = 3 * time.Second
	// resetWindow is how far a reset's sequence number may be from the client's last
	// acknowledgement.
	resetWindow = 76_800
)

// router stands in for the platform's routers: it hands each packet to a balancer that
// is in rotation, by a steady hash of the flow.
type router struct {
	f         *fleet
	balancers []*machine
	mu        sync.Mutex
	misses    map[*machine]int
	inUse     map[*machine]bool
}

// run probes the balancers.
func (r *router) run() {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(probeInterval) {
		for _, b := range r.balancers {
			resp, err := client.Get("http://" + b.addr(r.f.ports.readiness) + "/-/ready")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			r.mu.Lock()
			before := r.inUse[b]
			if ready {
				r.misses[b], r.inUse[b] = 0, true
			} else if r.misses[b]++; r.misses[b] >= missesAllowed {
				r.inUse[b] = false
			}
			after := r.inUse[b]
			r.mu.Unlock()
			if before != after {
				r.f.note("router: %s in rotation: %t", b.name, after)
			}
		}
	}
}

// ready returns how many balancers are in rotation.
func (r *router) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, on := range r.inUse {
		if on {
			n++
		}
	}
	return n
}

// pick returns the balancer for a flow.
func (r *router) pick(src netip.AddrPort) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *machine
	var rank uint64
	for _, b := range r.balancers {
		if !r.inUse[b] {
			continue
		}
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, src, b.name)
		if v := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || v > rank {
			best, rank = b, v
		}
	}
	return best
}

// clients are the clients of one zone: one address, a port for each flow.
type clients struct {
	f      *fleet
	ip     netip.Addr
	router *router
	conn   *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]*clientFlow
	port   uint16
	// deadline is how long the clients wait for an answer.
	deadline time.Duration
}

// clientFlow is a flow at its client.
type clientFlow struct {
	c        *clients
	src, dst netip.AddrPort
	in       chan packet
	// seq is the next byte to send, ack the next byte to receive.
	seq, ack uint32
	via      *machine
	// resetAt is when a reset was accepted on the open flow.
	resetAt time.Time
}

// newClients opens the clients' socket.
func newClients(f *fleet, r *router) (*clients, error) {
	ip := netip.MustParseAddr(fmt.Sprintf("127.%d.8.1", f.subnet))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(f.ports.datagram))))
	if err != nil {
		return nil, err
	}
	c := &clients{f: f, ip: ip, router: r, conn: conn, flows: map[uint16]*clientFlow{}, port: 30000, deadline: defaultDeadline}
	f.closers = append(f.closers, func() { _ = conn.Close() })
	go c.receive()
	return c, nil
}

// receive hands packets to their flows.
func (c *clients) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := decode(buf[:n])
		if err != nil {
			c.f.note("client: %v", err)
			continue
		}
		c.mu.Lock()
		fl := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if fl != nil {
			select {
			case fl.in <- p:
			default:
			}
		}
	}
}

// newFlow returns a flow from a new port.
func (c *clients) newFlow() *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	fl := &clientFlow{
		c: c, src: netip.AddrPortFrom(c.ip, c.port), dst: netip.MustParseAddrPort(serviceIP + ":8443"),
		in: make(chan packet, 64), seq: rand.Uint32(),
	}
	c.flows[c.port] = fl
	return fl
}

// send sends a packet through the balancer that the router selects now.
func (fl *clientFlow) send(flags byte, seq, ack uint32, data []byte) {
	b := fl.c.router.pick(fl.src)
	if b == nil {
		return
	}
	fl.via = b
	p := packet{src: fl.src, dst: fl.dst, flags: flags, seq: seq, ack: ack, data: data}
	_, _ = fl.c.conn.WriteToUDPAddrPort(p.encode(), netip.MustParseAddrPort(b.addr(fl.c.f.ports.datagram)))
}

// open opens the flow and reports whether it did.
func (fl *clientFlow) open() bool {
	isn := fl.seq
	begin := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		for time.Since(begin) < at {
			select {
			case p := <-fl.in:
				if p.flags&flagRST != 0 {
					return false
				}
				if p.flags == flagSYN|flagACK && p.ack == isn+1 {
					fl.seq, fl.ack = isn+1, p.seq+1
					return true
				}
			case <-time.After(at - time.Since(begin)):
			}
		}
		if i < 3 {
			fl.send(flagSYN, isn, uint32(i), nil)
		}
	}
	return false
}

// request sends a request on the open flow and reports whether its whole answer came.
func (fl *clientFlow) request(attempt string) bool {
	data := []byte(fmt.Sprintf("POST /clockings HTTP/1.1\r\nHost: ledger\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt))
	begin, pause := time.Now(), retransmitTime
	for time.Since(begin) < fl.c.deadline {
		fl.send(flagACK, fl.seq, fl.ack, data)
		timer := time.After(min(pause, fl.c.deadline-time.Since(begin)))
		for waiting := true; waiting; {
			select {
			case p := <-fl.in:
				if p.flags&flagRST != 0 {
					if d := int32(p.seq - fl.ack); d < resetWindow && d > -resetWindow {
						fl.resetAt = time.Now()
						return false
					}
					continue
				}
				if len(p.data) == 0 || p.seq != fl.ack {
					continue
				}
				fl.seq, fl.ack = fl.seq+uint32(len(data)), fl.ack+uint32(len(p.data))
				fl.send(flagACK, fl.seq, fl.ack, nil)
				return bytes.HasSuffix(p.data, []byte("done "+attempt))
			case <-timer:
				waiting = false
			}
		}
		pause *= 2
	}
	return false
}

// close closes the flow.
func (fl *clientFlow) close() {
	fl.send(flagFIN|flagACK, fl.seq, fl.ack, nil)
	fl.c.mu.Lock()
	defer fl.c.mu.Unlock()
	delete(fl.c.flows, fl.src.Port())
}
