package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// proxy stands before the internal port of a control process and can cut it from the
// other control processes. During a cut the bytes of open connections are held back,
// also the end of a connection, and are delivered in their order afterwards; what is
// sent on a connection that was opened during the cut is lost.
type proxy struct {
	s      *site
	target *machine
	to     string
}

// link is one connection through a proxy.
type link struct {
	// peer is the control process that opened the connection, nil for another one.
	peer *machine
	// lost is set if the connection was opened during a cut.
	lost bool
}

// startProxy starts a proxy that listens on from.
func startProxy(s *site, target *machine, from, to string) error {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	p := &proxy{s: s, target: target, to: to}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return nil
}

// forward connects a client with the target and copies both ways.
func (p *proxy) forward(client net.Conn) {
	l := &link{peer: p.s.controlOf(client.RemoteAddr().String())}
	l.lost = p.s.isCut(l.peer, p.target)
	server, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(l, client, server) }()
	go func() { defer both.Done(); p.copy(l, server, client) }()
	both.Wait()
}

// copy copies one direction and holds it back during a cut.
func (p *proxy) copy(l *link, from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for p.s.isCut(l.peer, p.target) {
			time.Sleep(2 * time.Millisecond)
		}
		if l.lost || err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// controlOf returns the machine whose control process holds the connection with this
// local address, nil if none does.
func (s *site) controlOf(addr string) *machine {
	inode := inodeOf(addr)
	if inode == "" {
		return nil
	}
	for _, m := range s.controls {
		if holdsSocket(m.control.pid(), inode) {
			return m
		}
	}
	return nil
}

// inodeOf returns the inode of the TCP socket with this local address.
func inodeOf(addr string) string {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	ip := a.Addr().Unmap().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, file := range files {
		if to, err := os.Readlink(file); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
