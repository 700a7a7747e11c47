package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// result is how a request ended.
type result int

const (
	resultFailed result = iota
	resultServed
	resultReset
)

// clients are the clients of one zone. They share an address; each flow has a port of
// its own.
type clients struct {
	s    *site
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]chan packet
	nextPort uint16
	nextID   int
	rotation []netip.Addr
}

// startClients starts the clients of a zone.
func startClients(s *site, zone string, ip netip.Addr) (*clients, error) {
	c := &clients{s: s, zone: zone, ip: ip, flows: map[uint16]chan packet{}, nextPort: 1024}
	var err error
	if c.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagram))); err != nil {
		return nil, err
	}
	go c.receiveLoop()
	go c.routerLoop()
	return c, nil
}

// routerLoop probes the balancers, as the platform's routers do: two misses take a
// balancer out of rotation; without one in the zone the others are used.
func (c *clients) routerLoop() {
	client := http.Client{Timeout: 400 * time.Millisecond}
	misses := map[netip.Addr]int{}
	for ; c.s.ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
		var own, others []netip.Addr
		for _, m := range c.s.fronts {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, portReadiness))
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				misses[m.ip] = 0
			} else {
				misses[m.ip]++
			}
			if misses[m.ip] >= 2 {
				continue
			}
			if m.zone == c.zone {
				own = append(own, m.ip)
			} else {
				others = append(others, m.ip)
			}
		}
		if len(own) == 0 {
			own = others
		}
		c.mu.Lock()
		c.rotation = own
		c.mu.Unlock()
	}
}

// receiveLoop passes each packet to its flow.
func (c *clients) receiveLoop() {
	buf := make([]byte, 2048)
	for c.s.ctx.Err() == nil {
		n, err := c.conn.Read(buf)
		if err != nil {
			continue
		}
		p, genuine, ok := decode(buf[:n])
		reset := ok && p.flags == flagRST && len(p.data) == 0
		if !ok || !genuine && !reset {
			c.s.record("a client of %s got a packet that its sender didn't write so: %x", c.zone, buf[:n])
			continue
		}
		c.mu.Lock()
		ch := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if ch != nil {
			select {
			case ch <- p:
			default:
			}
		}
	}
}

// send sends a packet through the balancer that the hash of the flow selects.
func (c *clients) send(p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rotation) == 0 {
		return
	}
	to := c.rotation[0]
	for _, ip := range c.rotation {
		if routerHash(p, ip) > routerHash(p, to) {
			to = ip
		}
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to, portDatagram))
}

// routerHash ranks a balancer for a flow, so that only the flows of a balancer that
// leaves the rotation move.
func routerHash(p packet, balancer netip.Addr) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, balancer, p.src, p.dst)
	return h.Sum32()
}

// isn is the first sequence number of clients.
const isn = 1000

// flow is a flow of a client.
type flow struct {
	c        *clients
	src, dst netip.AddrPort
	ch       chan packet
	// next is the sequence number of the client's next byte, acked what it
	// acknowledges.
	next, acked uint32
	number      int
}

// newFlow returns a flow from a new port.
func (c *clients) newFlow(service netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	c.nextID++
	f := &flow{c: c, src: netip.AddrPortFrom(c.ip, c.nextPort), dst: service, ch: make(chan packet, 16), number: c.nextID}
	c.flows[f.src.Port()] = f.ch
	return f
}

// drop forgets a flow.
func (f *flow) drop() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.src.Port())
}

// open opens the flow.
func (f *flow) open() result {
	for n, wait := range []time.Duration{200, 400, 800} {
		f.c.send(packet{src: f.src, dst: f.dst, flags: flagSYN, seq: isn, ack: uint32(n)})
		p, ok := await(f.ch, wait*time.Millisecond, func(p packet) bool { return p.flags&(flagSYN|flagRST) != 0 })
		if ok && p.flags&flagRST != 0 {
			return resultReset
		}
		if ok {
			f.next, f.acked = isn+1, p.seq+1
			return resultServed
		}
	}
	return resultFailed
}

// ask sends a request on the open flow and waits for its answer.
func (f *flow) ask(id string) result {
	data := packet{src: f.src, dst: f.dst, flags: flagACK, seq: f.next, ack: f.acked, data: []byte(id)}
	for wait := 200 * time.Millisecond; wait <= 800*time.Millisecond; wait *= 2 {
		f.c.send(data)
		p, ok := await(f.ch, wait, func(p packet) bool {
			return len(p.data) > 0 && p.ack == f.next+uint32(len(id)) || p.flags&flagRST != 0
		})
		if ok && p.flags&flagRST != 0 {
			return resultReset
		}
		if ok {
			if want := "answer to " + id; string(p.data) != want {
				f.c.s.record("client %s got %q, want %q", id, p.data, want)
			}
			f.next, f.acked = p.ack, p.seq+uint32(len(p.data))
			return resultServed
		}
	}
	return resultFailed
}

// close ends the flow.
func (f *flow) close() {
	f.c.send(packet{src: f.src, dst: f.dst, flags: flagACK | flagFIN, seq: f.next, ack: f.acked})
	f.drop()
}

// request sends one request on a flow of its own, without retries.
func (c *clients) request(service netip.AddrPort) (id string, res result) {
	f := c.newFlow(service)
	defer f.drop()
	id = fmt.Sprintf("%s-%d", c.zone, f.number)
	if res = f.open(); res != resultServed {
		return id, res
	}
	if res = f.ask(id); res == resultServed {
		f.close()
	}
	return id, res
}

// await waits for a packet that match accepts.
func await(ch chan packet, d time.Duration, match func(packet) bool) (packet, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case p := <-ch:
			if match(p) {
				return p, true
			}
		case <-timer.C:
			return packet{}, false
		}
	}
}
