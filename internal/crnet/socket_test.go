package crnet_test

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/net/ipv4"

	"cardamomring.dev/internal/crnet"
)

const loopback = "127.0.0.1:0"

func TestSocket(t *testing.T) {
	got := make(chan string, 1)
	var a, b *crnet.Socket
	a = &crnet.Socket{Addr: loopback, Receive: func(data []byte, from netip.AddrPort) {
		_ = a.Send(append(data, '!'), from)
	}}
	b = &crnet.Socket{Addr: loopback, Receive: func(data []byte, _ netip.AddrPort) { got <- string(data) }}
	for _, s := range []*crnet.Socket{a, b} {
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
	}
	if err := b.Send([]byte("hello"), a.Bound()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("hello!", <-got); diff != "" {
		t.Error(diff)
	}
}

// receiver is a UDP server that counts the datagrams received.
type receiver struct {
	addr  *net.UDPAddr
	count atomic.Int64
	stop  func()
}

// receivers maps the name of each compared method of reading a UDP socket to its
// start function.
var receivers = map[string]func(b *testing.B) *receiver{
	"socket": listenSocket, "batch": listenBatch, "nbio": listenNbio,
}

func listenSocket(b *testing.B) *receiver {
	b.Helper()
	r := &receiver{}
	s := &crnet.Socket{Addr: loopback, Receive: func([]byte, netip.AddrPort) { r.count.Add(1) }}
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	r.addr, r.stop = net.UDPAddrFromAddrPort(s.Bound()), func() { _ = s.Close() }
	return r
}

func listenBatch(b *testing.B) *receiver {
	b.Helper()
	const batch = 32
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	r := &receiver{stop: func() { _ = conn.Close() }}
	r.addr, _ = conn.LocalAddr().(*net.UDPAddr)
	_ = conn.SetReadBuffer(4 << 20)
	messages := make([]ipv4.Message, batch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, crnet.DatagramMax)}
	}
	packets := ipv4.NewPacketConn(conn)
	go func() {
		for {
			n, err := packets.ReadBatch(messages, 0)
			if err != nil {
				return
			}
			r.count.Add(int64(n))
		}
	}()
	return r
}

func listenNbio(b *testing.B) *receiver {
	b.Helper()
	logging.SetLevel(logging.LevelNone)
	r := &receiver{}
	engine := nbio.NewEngine(nbio.Config{
		Network: "udp", Addrs: []string{loopback}, UDPReadTimeout: time.Minute,
		ListenUDP: func(network string, addr *net.UDPAddr) (*net.UDPConn, error) {
			conn, err := net.ListenUDP(network, addr)
			if err == nil {
				r.addr, _ = conn.LocalAddr().(*net.UDPAddr)
				_ = conn.SetReadBuffer(4 << 20)
			}
			return conn, err
		},
	})
	engine.OnData(func(*nbio.Conn, []byte) { r.count.Add(1) })
	if err := engine.Start(); err != nil {
		b.Fatal(err)
	}
	r.stop = engine.Stop
	return r
}

// waitForCount waits until n datagrams have been received, or none for about a
// second.
func (r *receiver) waitForCount(n int64) {
	last, idleMillis := r.count.Load(), 0
	for r.count.Load() < n && idleMillis < 1000 {
		time.Sleep(time.Millisecond)
		idleMillis++
		if now := r.count.Load(); now != last {
			last, idleMillis = now, 0
		}
	}
}

// BenchmarkReceive compares the methods by the time to send and receive a datagram
// of 1,200 bytes. A single sender has at most 64 datagrams in flight.
func BenchmarkReceive(b *testing.B) {
	for name, listen := range receivers {
		b.Run(name, func(b *testing.B) {
			r := listen(b)
			defer r.stop()
			conn, err := net.DialUDP("udp", nil, r.addr)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			data := make([]byte, 1200)
			sent := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(data); err != nil {
					b.Fatal(err)
				}
				sent++
				for sent-r.count.Load() > 64 {
					runtime.Gosched()
				}
			}
			r.waitForCount(sent)
		})
	}
}

// BenchmarkRemotes compares the methods by their memory per remote address.
func BenchmarkRemotes(b *testing.B) {
	for name, listen := range receivers {
		for _, n := range []int{20_000, 300_000} {
			b.Run(fmt.Sprintf("%s/remotes=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					r := listen(b)
					before := memoryInUse()
					sendFromAddrs(b, r, n)
					b.ReportMetric(float64(memoryInUse()-before)/float64(n), "B/remote")
					b.ReportMetric(float64(r.count.Load()), "received")
					r.stop()
				}
			})
		}
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// sendFromAddrs sends one datagram from each of n local addresses.
func sendFromAddrs(b *testing.B, r *receiver, n int) {
	b.Helper()
	for i := range n {
		local := &net.UDPAddr{IP: net.IPv4(127, byte(1+i>>16), byte(i>>8), byte(i)), Port: 20_000}
		conn, err := net.DialUDP("udp", local, r.addr)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = conn.Write([]byte("x"))
		_ = conn.Close()
		if i%64 == 0 {
			r.waitForCount(int64(i - 64))
		}
	}
	r.waitForCount(int64(n))
}
