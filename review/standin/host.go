package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// flowKey names a flow by both of its ends.
type flowKey struct{ client, service netip.AddrPort }

// run is one request that a host began to work on.
type run struct {
	at       time.Time
	id, host string
	zone     string
	// openedAt is when the host took the opening packet of the flow.
	openedAt time.Time
}

// host is a stand-in for a host beside an agent. It answers each request at once.
type host struct {
	s       *site
	m       *machine
	id      string
	conn    *net.UDPConn
	health  net.Listener
	client  http.Client
	born    int64
	stopped context.CancelFunc
	ctx     context.Context

	mu      sync.Mutex
	flows   map[flowKey]*hostFlow
	seq     int
	nextISN uint32
	state   string
}

// hostFlow is a flow that a host holds.
type hostFlow struct {
	isn      uint32
	openedAt time.Time
	// next is the sequence number of the host's next byte.
	next    uint32
	replies map[uint32][]byte
	ended   bool
}

// startHost starts a host on a side machine.
func startHost(s *site, m *machine) error {
	h := &host{
		s: s, m: m, id: fmt.Sprintf("i-%s", m.name), flows: map[flowKey]*hostFlow{},
		born: time.Now().UnixMilli(), nextISN: rand.Uint32(), state: "ready", client: http.Client{Timeout: time.Second},
	}
	h.ctx, h.stopped = context.WithCancel(s.ctx)
	addr := netip.AddrPortFrom(m.ip, portApp)
	var err error
	if h.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		return err
	}
	if h.health, err = net.Listen("tcp", addr.String()); err != nil {
		return err
	}
	go func() {
		_ = http.Serve(h.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	s.mu.Lock()
	m.host = h
	s.mu.Unlock()
	go h.serveLoop()
	go h.heartbeatLoop(h.ctx)
	return nil
}

// crash ends the host without a word.
func (h *host) crash() {
	h.stopped()
	_ = h.conn.Close()
	_ = h.health.Close()
}

// heartbeatLoop announces the host to the daemon beside it.
func (h *host) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatInterval
		if !h.beat(ctx) {
			pause = 200 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (h *host) beat(ctx context.Context) bool {
	h.mu.Lock()
	h.seq++
	body := fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":"v1","slots":7,"state":%q,"cold_remaining_ms":0,"seq":%d,"born":%d}`,
		h.m.service, h.m.ip, portApp, h.m.zone, h.state, h.seq, h.born)
	h.mu.Unlock()
	url := fmt.Sprintf("http://%s:%d/-/instances/%s", h.m.ip, portControl, h.id)
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// serveLoop answers the packets that the agent delivers.
func (h *host) serveLoop() {
	buf := make([]byte, 2048)
	out := net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.m.ip, portOutbound))
	for h.ctx.Err() == nil {
		n, err := h.conn.Read(buf)
		if err != nil {
			continue
		}
		p, genuine, ok := decode(buf[:n])
		if !ok || !genuine {
			h.s.record("host %s got a packet that its sender didn't write so: %x", h.id, buf[:n])
			continue
		}
		for _, reply := range h.handle(p, buf[:n]) {
			_, _ = h.conn.WriteToUDP(reply, out)
		}
	}
}

// handle returns the datagrams that answer a packet.
func (h *host) handle(p packet, raw []byte) [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := flowKey{client: p.src, service: p.dst}
	f := h.flows[key]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK != 0:
		h.s.record("host %s got a SYN+ACK", h.id)
		return nil
	case p.flags&flagSYN != 0:
		if f == nil || f.ended {
			h.nextISN += 100_003
			f = &hostFlow{isn: h.nextISN, next: h.nextISN + 1, openedAt: time.Now(), replies: map[uint32][]byte{}}
			h.flows[key] = f
		}
		return [][]byte{packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.isn, ack: p.seq + 1}.encode()}
	case f == nil || p.flags&flagACK != 0 && p.ack-f.isn > f.next-f.isn+1:
		back := append([]byte(nil), raw...)
		back[24] |= flagBounced
		back[25] = 0
		return [][]byte{back}
	case p.flags&flagRST != 0:
		f.ended = true
	case len(p.data) > 0:
		if f.replies[p.seq] == nil {
			id := string(p.data)
			h.s.addRun(run{at: time.Now(), id: id, host: h.id, zone: h.m.zone, openedAt: f.openedAt})
			answer := []byte("answer to " + id)
			f.replies[p.seq] = packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.next, ack: p.seq + uint32(len(p.data)), data: answer}.encode()
			f.next += uint32(len(answer))
		}
		return [][]byte{f.replies[p.seq]}
	case p.flags&flagFIN != 0:
		f.ended = true
		return [][]byte{packet{src: p.dst, dst: p.src, flags: flagACK | flagFIN, seq: f.next, ack: p.seq + 1}.encode()}
	}
	return nil
}
