package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// proxy passes the connections of the system's own processes on to a control instance.
// The first bytes of a connection tell which instance opened it: all calls between
// instances carry the sender's ID, which is its IPv4 address as a number.
type proxy struct {
	f      *fleet
	target string
	owner  uint64

	mu sync.Mutex
	// cut holds the IDs of the instances that can't reach this one.
	cut map[uint64]bool
	// held counts the connections that were held.
	held int
}

// senderID finds the ID of the sender in a call.
var senderID = regexp.MustCompile(`"(?:from|id)":(\d+)`)

// idOf returns the ID of a control instance.
func idOf(ip string) uint64 {
	b := net.ParseIP(ip).To4()
	return uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3])
}

// addProxy puts a proxy before a control instance.
func (m *machine) addProxy(bind string) (*proxy, error) {
	m.bind = bind
	p := &proxy{f: m.f, target: fmt.Sprintf("%s:%d", bind, m.f.ports.internal), owner: idOf(m.ip), cut: map[uint64]bool{}}
	l, err := net.Listen("tcp", m.addr(m.f.ports.internal))
	if err != nil {
		return nil, err
	}
	m.f.closers = append(m.f.closers, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// setCut cuts or joins the links from some instances to this one.
func (p *proxy) setCut(ids []uint64, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.cut[id] = on
	}
}

// passes reports whether data of a connection is delivered now.
func (p *proxy) passes(sender uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut[sender]
}

// forward passes one connection on. While its link is cut, data is held in both
// directions and nothing is answered.
func (p *proxy) forward(from net.Conn) {
	defer from.Close()
	first := make([]byte, 64<<10)
	n, err := from.Read(first)
	if err != nil {
		return
	}
	sender := uint64(0)
	for i := 0; i < 20 && sender == 0; i++ {
		if m := senderID.FindSubmatch(first[:n]); m != nil {
			sender, _ = strconv.ParseUint(string(m[1]), 10, 64)
			break
		}
		_ = from.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		more, _ := from.Read(first[n:])
		n += more
	}
	_ = from.SetReadDeadline(time.Time{})
	if !p.passes(sender) {
		p.mu.Lock()
		p.held++
		p.mu.Unlock()
	}
	p.await(sender)
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(first[:n]); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.copy(to, from, sender); done <- struct{}{} }()
	go func() { p.copy(from, to, sender); done <- struct{}{} }()
	<-done
}

// await waits until the link is joined.
func (p *proxy) await(sender uint64) {
	for !p.passes(sender) {
		time.Sleep(5 * time.Millisecond)
	}
}

// copy passes data on in one direction.
func (p *proxy) copy(to io.Writer, from io.Reader, sender uint64) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.await(sender)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
