package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// host is a backend server beside an agent. It speaks what PROTOCOL.md says of hosts.
type host struct {
	f           *fleet
	ip, service string
	id          string
	born        int64
	slots       int
	work        time.Duration
	conn        *net.UDPConn
	health      net.Listener
	outbound    netip.AddrPort
	quit        chan struct{}
	wg          sync.WaitGroup

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	seq      int
	draining bool
	// drainAcked is when the agent acknowledged the first heartbeat that says draining.
	drainAcked time.Time
	closed     bool
	// onRun is called when a request begins to run, onOpen when an opening packet is taken.
	onRun  func(h *host, id, route string, opened time.Time)
	onOpen func(h *host, key flowKey)
	// forged counts packets that their sender didn't write so.
	forged int
}

type flowKey struct{ client, route netip.AddrPort }

type hostFlow struct {
	isn, clientNext uint32
	open, ended     bool
	openedAt        time.Time
	// answer is the last answer, resent until it is acknowledged.
	answer      []byte
	answerSeq   uint32
	answerAcked bool
	next        uint32
	sentSYN     time.Time
}

// newHost starts a host on the machine with the address ip.
func newHost(f *fleet, ip, service string, slots int, work time.Duration) *host {
	addr := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, portApp))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		cannotRun("host: %v", err)
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		cannotRun("host: %v", err)
	}
	h := &host{
		f: f, ip: ip, service: service, slots: slots, work: work, conn: conn, health: l, quit: make(chan struct{}),
		flows: map[flowKey]*hostFlow{}, born: time.Now().UnixMilli(), id: fmt.Sprintf("i-%08x", rand.Uint32()),
		outbound: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, portOutbound)),
		onRun:    func(*host, string, string, time.Time) {}, onOpen: func(*host, flowKey) {},
	}
	f.hosts = append(f.hosts, h)
	return h
}

func (h *host) run() {
	h.wg.Go(h.receive)
	h.wg.Go(h.beatLoop)
	h.wg.Go(func() {
		_ = http.Serve(h.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	})
}

func (h *host) close() {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.closed = true
	h.mu.Unlock()
	close(h.quit)
	_ = h.conn.Close()
	_ = h.health.Close()
	h.wg.Wait()
}

// beatLoop sends heartbeats about every 1.2 s.
func (h *host) beatLoop() {
	for {
		h.beat()
		select {
		case <-time.After(time.Duration(1100+rand.IntN(200)) * time.Millisecond):
		case <-h.quit:
			return
		}
	}
}

// beat sends a heartbeat until it is acknowledged, five times at most.
func (h *host) beat() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 5 {
		h.mu.Lock()
		h.seq++
		state := "ready"
		if h.draining {
			state = "draining"
		}
		body := fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":"z","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"seq":%d,"born":%d}`,
			h.service, h.ip, portApp, h.slots, state, h.seq, h.born)
		h.mu.Unlock()
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", h.ip, portControl, h.id), strings.NewReader(body))
		if err != nil {
			cannotRun("%v", err)
		}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				h.mu.Lock()
				if state == "draining" && h.drainAcked.IsZero() {
					h.drainAcked = time.Now()
				}
				h.mu.Unlock()
				return
			}
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-h.quit:
			return
		}
	}
}

// leave drains the host and ends it, as before a planned shutdown.
func (h *host) leave(serve time.Duration) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.beat()
	time.Sleep(serve)
	req, _ := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s:%d/-/instances/%s", h.ip, portControl, h.id), nil)
	client := http.Client{Timeout: time.Second}
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
	h.close()
}

func (h *host) send(b []byte) { _, _ = h.conn.WriteToUDPAddrPort(b, h.outbound) }

func (h *host) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := h.conn.Read(buf)
		if err != nil {
			select {
			case <-h.quit:
				return
			default:
				continue
			}
		}
		p, ok := decode(buf[:n])
		if !ok || !genuine(buf[:n]) {
			h.mu.Lock()
			h.forged++
			h.mu.Unlock()
			continue
		}
		h.handle(p, buf[:n])
	}
}

// bounce returns a packet that the host doesn't hold.
func (h *host) bounce(raw []byte) {
	b := bytes.Clone(raw)
	b[24] |= flagBounced
	b[25] = 0
	h.send(b)
}

func (h *host) handle(p packet, raw []byte) {
	key := flowKey{client: p.src, route: p.dst}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	if p.has(flagSYN) {
		if f == nil {
			f = &hostFlow{isn: rand.Uint32(), clientNext: p.seq + 1, openedAt: time.Now()}
			f.next = f.isn + 1
			h.flows[key] = f
			h.onOpen(h, key)
		}
		if !f.ended {
			h.send((&packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.isn, ack: p.seq + 1}).encode())
		}
		return
	}
	if f == nil || !f.open && p.ack != f.isn+1 {
		if f != nil && f.ended {
			return
		}
		h.bounce(raw)
		return
	}
	f.open = true
	if p.has(flagRST) {
		f.ended = true
		return
	}
	if p.ack == f.next {
		f.answerAcked = true
	}
	if len(p.data) > 0 {
		h.handleData(key, f, p)
	}
	if p.has(flagFIN) {
		f.ended = true
		h.send((&packet{src: key.route, dst: key.client, flags: flagACK | flagFIN, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1}).encode())
	}
}

// handleData runs a request that is new and answers it.
func (h *host) handleData(key flowKey, f *hostFlow, p packet) {
	if f.ended {
		h.send((&packet{src: key.route, dst: key.client, flags: flagRST, seq: f.next, ack: p.seq}).encode())
		return
	}
	if p.seq != f.clientNext {
		// A copy of a request that runs or has been answered.
		if len(f.answer) > 0 {
			h.send((&packet{src: key.route, dst: key.client, flags: flagACK, seq: f.answerSeq, ack: f.clientNext, data: f.answer}).encode())
		}
		return
	}
	f.clientNext += uint32(len(p.data))
	f.answer, f.answerAcked = nil, false
	id := attemptID(p.data)
	h.onRun(h, id, key.route.String(), f.openedAt)
	body := "answer to " + id + " by " + h.service
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body))
	time.AfterFunc(h.work, func() { h.answer(key, f, answer) })
}

// answer sends an answer, and again until it is acknowledged, eight times at most.
func (h *host) answer(key flowKey, f *hostFlow, data []byte) {
	h.mu.Lock()
	f.answer, f.answerSeq = data, f.next
	f.next += uint32(len(data))
	next := f.next
	h.mu.Unlock()
	pause := 200 * time.Millisecond
	for range 9 {
		h.mu.Lock()
		done := h.closed || f.answerAcked || f.next != next
		if !done {
			h.send((&packet{src: key.route, dst: key.client, flags: flagACK, seq: f.answerSeq, ack: f.clientNext, data: data}).encode())
		}
		h.mu.Unlock()
		if done {
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, 1600*time.Millisecond)
	}
}

// attemptID returns the Attempt-Id of a request.
func attemptID(data []byte) string {
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "Attempt-Id: "); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}
