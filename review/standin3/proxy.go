package main

import (
	"bytes"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"time"
)

// cutState is the zone that is partitioned from the others, if any.
type cutState struct {
	mu   sync.Mutex
	zone string
}

// cutZone partitions a zone from the others; "" heals the partition.
func (f *fleet) cutZone(zone string) {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	f.cuts.zone = zone
}

// cut reports whether the partition is between a caller and a control instance. A caller
// without a name is another control instance.
func (f *fleet) cut(caller, target *proc) bool {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	z := f.cuts.zone
	return z != "" && (caller != nil && caller.zone == z) != (target.zone == z)
}

// proxy forwards the calls of other processes to a control instance. Bytes that would
// cross a partition wait until it has healed, as TCP sends lost segments again.
type proxy struct {
	f      *fleet
	target *proc
	l      net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newProxy(f *fleet, target *proc) *proxy {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", target.ip, portInternal))
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	p := &proxy{f: f, target: target, l: l, conns: map[net.Conn]bool{}}
	go p.loop()
	return p
}

func (p *proxy) loop() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

var (
	memberName = regexp.MustCompile(`"name":"([^"]+)"`)
	fromAddr   = regexp.MustCompile(`"addr(?:ess)?":"([^":]+):`)
)

// callerOf returns the process that sent the first call on a connection. Daemons name
// themselves; other calls come from another control instance.
func (p *proxy) callerOf(first []byte) *proc {
	line, _, _ := bytes.Cut(first, []byte("\r\n"))
	name := ""
	switch {
	case bytes.HasPrefix(line, []byte("GET /feed")):
		if u, err := url.Parse(strings.Fields(string(line))[1]); err == nil {
			name = u.Query().Get("name")
		}
	case bytes.HasPrefix(line, []byte("POST /announce")):
		if m := memberName.FindSubmatch(first); m != nil {
			name = string(m[1])
		}
	default:
		if m := fromAddr.FindSubmatch(first); m != nil {
			return p.f.find(func(q *proc) bool { return q.ip == string(m[1]) })
		}
		return nil
	}
	return p.f.find(func(q *proc) bool { return q.name == name })
}

// find returns the first process that match accepts, nil if there is none.
func (f *fleet) find(match func(q *proc) bool) *proc {
	f.procsMu.Lock()
	defer f.procsMu.Unlock()
	for _, q := range f.procs {
		if match(q) {
			return q
		}
	}
	return nil
}

// waitPassable waits while the partition is between the caller and the instance.
func (p *proxy) waitPassable(c *proc) {
	for p.f.cut(c, p.target) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) serve(c net.Conn) {
	if !p.track(c) {
		_ = c.Close()
		return
	}
	defer p.drop(c)
	buf := make([]byte, 64<<10)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	if bytes.HasPrefix(buf[:n], []byte("POST /announce")) && memberName.Find(buf[:n]) == nil {
		// The body comes in a segment of its own.
		m, err := c.Read(buf[n:])
		if err != nil {
			return
		}
		n += m
	}
	from := p.callerOf(buf[:n])
	p.waitPassable(from)
	s, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.target.bind, portInternal), time.Second)
	if err != nil {
		return
	}
	if !p.track(s) {
		_ = s.Close()
		return
	}
	defer p.drop(s)
	if _, err := s.Write(buf[:n]); err != nil {
		return
	}
	together(func() { p.copy(s, c, from) }, func() { p.copy(c, s, from) })
}

// copy forwards one direction of a connection.
func (p *proxy) copy(to, from net.Conn, by *proc) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.waitPassable(by)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = true
	}
	return !p.closed
}

func (p *proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
}
