package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// beatInterval is the time between two heartbeats.
	beatInterval = 1200 * time.Millisecond
	// workTime is how long a host works on a request.
	workTime = 30 * time.Millisecond
	// retransmitTime is the first pause before a packet is sent again; it doubles.
	retransmitTime = 200 * time.Millisecond
)

// hostFlow is a flow at a host.
type hostFlow struct {
	src, dst   netip.AddrPort
	seq        uint32
	got        uint32
	open       bool
	openedAt   time.Time
	responses  map[uint32][]byte
	unacked    []byte
	unackedEnd uint32
	tries      int
}

// host is a host beside an agent. It speaks PROTOCOL.md and never resets a flow.
type host struct {
	f     *fleet
	m     *machine
	mu    sync.Mutex
	flows map[netip.AddrPort]*hostFlow
	conn  *net.UDPConn
	http  *http.Server
	alive bool
	born  int64
	id    string
	// runs counts the requests by their Attempt-Id; returned the packets given back.
	runs     map[string]int
	returned int
	// stray and own hold when packets of flows came that the host doesn't hold, and
	// that it does.
	stray, own map[netip.AddrPort][]time.Time
}

// newHost returns a host that isn't started.
func newHost(f *fleet, m *machine) *host {
	return &host{f: f, m: m, runs: map[string]int{}, stray: map[netip.AddrPort][]time.Time{}, own: map[netip.AddrPort][]time.Time{}}
}

// start starts an incarnation of the host.
func (h *host) start() error {
	addr := h.m.addr(h.f.ports.app)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		_ = l.Close()
		return err
	}
	h.mu.Lock()
	h.flows, h.conn, h.alive, h.born = map[netip.AddrPort]*hostFlow{}, conn, true, time.Now().UnixMilli()
	h.id = fmt.Sprintf("i-%s-%d", h.m.name, h.born)
	h.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	server := h.http
	h.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go h.receive(conn)
	go h.beat(conn)
	go h.retransmit(conn)
	h.f.note("host at %s started", addr)
	return nil
}

// crash ends the incarnation without a word.
func (h *host) crash() {
	h.mu.Lock()
	h.alive = false
	server, conn := h.http, h.conn
	h.mu.Unlock()
	_ = conn.Close()
	_ = server.Close()
	h.f.note("host at %s crashed", h.m.addr(h.f.ports.app))
}

// runsOn reports whether the incarnation with this socket runs. Call it with mu held.
func (h *host) runsOn(conn *net.UDPConn) bool { return h.alive && h.conn == conn }

// beat sends heartbeats to the agent on the host's own machine.
func (h *host) beat(conn *net.UDPConn) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for seq := 1; ; seq++ {
		h.mu.Lock()
		running, id, born := h.runsOn(conn), h.id, h.born
		h.mu.Unlock()
		if !running {
			return
		}
		body := fmt.Sprintf(`{"service":"ledger","address":%q,"zone":%q,"version":"v1","slots":7,"state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}`,
			h.m.addr(h.f.ports.app), h.m.zone, seq, born)
		req, err := http.NewRequest(http.MethodPut, "http://"+h.m.addr(h.f.ports.control)+"/-/instances/"+id, bytes.NewBufferString(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		time.Sleep(beatInterval)
	}
}

// send hands a packet to the agent on the host's own machine.
func (h *host) send(conn *net.UDPConn, data []byte) {
	to := netip.MustParseAddrPort(h.m.addr(h.f.ports.outbound))
	_, _ = conn.WriteToUDPAddrPort(data, to)
}

// receive handles the packets that the agent brings.
func (h *host) receive(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			h.mu.Lock()
			running := h.runsOn(conn)
			h.mu.Unlock()
			if !running {
				return
			}
			continue
		}
		p, err := decode(buf[:n])
		if err != nil {
			h.f.note("host %s: %v", h.m.name, err)
			continue
		}
		h.handle(conn, p, append([]byte(nil), buf[:n]...))
	}
}

// handle handles a packet of a client.
func (h *host) handle(conn *net.UDPConn, p packet, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.runsOn(conn) {
		return
	}
	fl := h.flows[p.src]
	switch {
	case p.flags == flagSYN:
		if fl == nil || fl.got != p.seq+1 && !fl.open {
			fl = &hostFlow{src: p.src, dst: p.dst, seq: rand.Uint32(), got: p.seq + 1, responses: map[uint32][]byte{}}
			h.flows[p.src] = fl
		}
		if !fl.open {
			h.send(conn, packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: fl.seq, ack: fl.got}.encode())
		}
	case fl == nil || !fl.open && p.ack != fl.seq+1:
		h.returned++
		h.stray[p.src] = append(h.stray[p.src], time.Now())
		data[24] |= flagBounced
		data[25] = 0
		h.send(conn, data)
	default:
		h.handleOpen(conn, fl, p)
	}
}

// handleOpen handles a packet of a flow that the host holds.
func (h *host) handleOpen(conn *net.UDPConn, fl *hostFlow, p packet) {
	h.own[p.src] = append(h.own[p.src], time.Now())
	if !fl.open {
		fl.open, fl.openedAt = true, time.Now()
		fl.seq++
	}
	if p.flags&flagRST != 0 || p.flags&flagFIN != 0 {
		if p.flags&flagFIN != 0 {
			h.send(conn, packet{src: fl.dst, dst: fl.src, flags: flagFIN | flagACK, seq: fl.seq, ack: p.seq + 1}.encode())
		}
		delete(h.flows, p.src)
		return
	}
	if fl.unacked != nil && int32(p.ack-fl.unackedEnd) >= 0 {
		fl.unacked = nil
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != fl.got {
		if old := fl.responses[p.seq]; old != nil {
			h.send(conn, old)
		}
		return
	}
	fl.got += uint32(len(p.data))
	attempt := string(bytes.TrimSpace(p.data[bytes.Index(p.data, []byte("Attempt-Id:"))+len("Attempt-Id:") : bytes.Index(p.data, []byte("\r\nContent-Length"))]))
	h.runs[attempt]++
	time.AfterFunc(workTime, func() { h.answer(conn, fl, p.seq, attempt) })
}

// answer sends the response to a request.
func (h *host) answer(conn *net.UDPConn, fl *hostFlow, request uint32, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.runsOn(conn) || h.flows[fl.src] != fl {
		return
	}
	body := "done " + attempt
	data := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body))
	out := packet{src: fl.dst, dst: fl.src, flags: flagACK, seq: fl.seq, ack: fl.got, data: data}.encode()
	fl.seq += uint32(len(data))
	fl.unacked, fl.unackedEnd, fl.tries = out, fl.seq, 0
	fl.responses[request] = out
	h.send(conn, out)
}

// retransmit sends responses again that weren't acknowledged.
func (h *host) retransmit(conn *net.UDPConn) {
	for range time.Tick(retransmitTime) {
		h.mu.Lock()
		if !h.runsOn(conn) {
			h.mu.Unlock()
			return
		}
		for _, fl := range h.flows {
			if fl.unacked != nil && fl.tries < 8 {
				fl.tries++
				h.send(conn, fl.unacked)
			}
		}
		h.mu.Unlock()
	}
}

// holds reports whether the host runs and holds a flow of a client open.
func (h *host) holds(src netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive && h.flows[src] != nil && h.flows[src].open
}

// ran returns how often a request was run here.
func (h *host) ran(attempt string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[attempt]
}
