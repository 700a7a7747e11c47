package crbalancer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/cragent"
	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crdoc"
)

const (
	loopback    = "127.0.0.1:0"
	serviceName = "loftbook"
	// testTimeout limits each wait of a test.
	testTimeout = 20 * time.Second
)

var zones = []string{"neng-a", "neng-b", "neng-c"}

// cluster is a complete system in one process, behind a fabric.
type cluster struct {
	t          *testing.T
	dir        string
	control    *fakeControl
	fabric     *crfake.Fabric
	pool       *x509.CertPool
	nodes      map[string]*node
	lastSerial int64
	// controlAddr is the address of control for processes that start.
	controlAddr string
	// keepAlivePeriod is the period of keep-alives of new callers; 0 disables
	// them.
	keepAlivePeriod time.Duration
}

// node is a running balancer or agent.
type node struct {
	balancer *crbalancer.Balancer
	settings *crdoc.Settings
	registry *prometheus.Registry
	cancel   context.CancelFunc
	done     chan error
	backend  *crnet.Server
}

// newCluster starts control and the fabric, and applies the service.
func newCluster(t *testing.T, fabric *crfake.Fabric) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), control: newControl(t), fabric: fabric,
		pool: x509.NewCertPool(), nodes: map[string]*node{},
	}
	c.controlAddr = c.control.addr
	fabric.Addr = loopback
	if err := fabric.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fabric.Close() })
	c.writeKeys()
	c.control.applyService(c.document(1))
	return c
}

// document returns the service document with a version.
func (c *cluster) document(version uint64) crdoc.Service {
	return crdoc.Service{
		Name: serviceName, Customer: "consortium", Version: version, Address: c.fabric.Bound().String(), Zones: zones,
		Limit: crdoc.Limit{Start: 100, Max: 1000},
		Classes: []crdoc.Class{{
			Name: "all", Priority: true, Repeatable: true, Deadline: crdoc.Duration(testTimeout),
			Match: []crdoc.Match{{Prefix: "/"}},
		}},
		Grace: crdoc.Duration(testTimeout),
	}
}

// writeKeys writes a certificate and a shared key.
func (c *cluster) writeKeys() {
	c.t.Helper()
	c.writeCertificate()
	c.write("shared", []byte(strings.Repeat("5a", 32)))
}

// writeCertificate writes a new certificate and makes callers trust it.
func (c *cluster) writeCertificate() {
	c.t.Helper()
	c.lastSerial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		c.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(c.lastSerial), Subject: pkix.Name{CommonName: serviceName}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		c.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		c.t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	c.pool.AppendCertsFromPEM(cert)
	c.write("cert.pem", cert)
	c.write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
}

// write writes a file to the cluster's directory.
func (c *cluster) write(name string, data []byte) {
	c.t.Helper()
	if err := os.WriteFile(c.path(name), data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// path returns the path of a file in the cluster's directory.
func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

// settings returns the settings that all processes have in common.
func (c *cluster) settings(name, zone string) *crdoc.Settings {
	return &crdoc.Settings{
		Name: name, Zone: zone, Zones: zones, Control: []string{c.controlAddr},
		Keys: []crdoc.Key{{ID: 1, File: c.path("shared")}},
	}
}

// startBalancer starts a balancer that receives datagrams on the address local.
func (c *cluster) startBalancer(name, local string) {
	c.t.Helper()
	n := &node{settings: c.settings(name, zones[0])}
	n.settings.Balancer = &crdoc.Balancer{
		HTTP: loopback, Datagrams: true, ReturnAddr: loopback,
		Listen: map[string]string{c.fabric.Bound().String(): local},
	}
	n.registry = prometheus.NewRegistry()
	ready := make(chan struct{})
	n.balancer = &crbalancer.Balancer{
		Settings: n.settings, Registry: n.registry, Ready: func(string) { close(ready) }, Logf: c.t.Logf,
	}
	c.startNode(name, n, n.balancer.Run)
	<-ready
	c.eventually(name+" listens", func() bool { _, ok := n.balancer.DatagramAddr(serviceName); return ok })
}

// startAgent starts an agent with its own backend server.
func (c *cluster) startAgent(name, zone string, weight int) {
	c.t.Helper()
	c.startAgentWithBackend(name, zone, weight, serveBytes)
}

// startAgentWithBackend starts an agent with a backend server that answers with
// serve.
func (c *cluster) startAgentWithBackend(name, zone string, weight int, serve http.HandlerFunc) {
	c.t.Helper()
	n := &node{settings: c.settings(name, zone)}
	n.backend = &crnet.Server{Addr: loopback, Handler: serve}
	if err := n.backend.Start(); err != nil {
		c.t.Fatal(err)
	}
	n.settings.Agent = &crdoc.Agent{
		Service: serviceName, Host: name, Backend: n.backend.Bound(), Listen: loopback, DatagramAddr: loopback,
		Weight: weight, Cert: c.path("cert.pem"), Key: c.path("key.pem"),
	}
	n.registry = prometheus.NewRegistry()
	a := &cragent.Agent{Settings: n.settings, Registry: n.registry, Ready: func(string) {}, Logf: c.t.Logf}
	c.startNode(name, n, a.Run)
	c.eventually(name+" is a member", func() bool { return c.isMember(name) })
}

// startNode runs a role until stop is called.
func (c *cluster) startNode(name string, n *node, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan error, 1)
	go func() { n.done <- run(ctx) }()
	c.nodes[name] = n
	c.t.Cleanup(func() { c.stop(name) })
}

// stop stops a node gracefully and waits for its end.
func (c *cluster) stop(name string) {
	n := c.nodes[name]
	if n == nil {
		return
	}
	delete(c.nodes, name)
	n.cancel()
	if err := <-n.done; err != nil {
		c.t.Errorf("%s stopped: %v", name, err)
	}
	if n.backend != nil {
		_ = n.backend.Close()
	}
}

// isMember reports whether an agent is a member at control.
func (c *cluster) isMember(name string) bool {
	for _, m := range c.control.source.View().Members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// updateFabric makes the fabric send to all running balancers.
func (c *cluster) updateFabric() {
	var addrs []netip.AddrPort
	for _, n := range c.nodes {
		if n.balancer == nil {
			continue
		}
		if addr, ok := n.balancer.DatagramAddr(serviceName); ok {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	c.fabric.SetBalancers(addrs...)
}

// eventually waits until holds returns true, and fails the test after
// testTimeout.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %s: %s", testTimeout, what)
		}
	}
}

// newCaller returns an HTTP/3 client with its own socket.
func (c *cluster) newCaller() *caller {
	tr := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: c.pool},
		QUICConfig:      &quic.Config{MaxIdleTimeout: testTimeout, HandshakeIdleTimeout: testTimeout, KeepAlivePeriod: c.keepAlivePeriod},
	}
	c.t.Cleanup(func() { _ = tr.Close() })
	return &caller{client: &http.Client{Transport: tr, Timeout: testTimeout}, url: "https://" + c.fabric.Bound().String()}
}

// caller is an HTTP/3 client.
type caller struct {
	client *http.Client
	url    string
}

// get requests n bytes and returns an error if the answer is wrong.
func (c *caller) get(n int) error {
	resp, err := c.client.Get(fmt.Sprintf("%s/bytes?n=%d", c.url, n))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Equal(body, pattern(n)) {
		return fmt.Errorf("status %d with %d bytes, want %d: %.200s", resp.StatusCode, len(body), n, body)
	}
	return nil
}

// serveBytes answers as a backend server with the requested number of bytes.
func serveBytes(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("n"))
	_, _ = w.Write(pattern(n))
}

// pattern returns n bytes in which missing or swapped parts can be detected.
func pattern(n int) []byte {
	out := make([]byte, 0, n+8)
	for i := 0; len(out) < n; i++ {
		out = fmt.Appendf(out, "%07d ", i)
	}
	return out[:n]
}

// nonzeroCounters returns a node's counters that are not zero, by name and
// label values.
func (n *node) nonzeroCounters(t *testing.T) map[string]float64 {
	t.Helper()
	families, err := n.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if m.GetCounter().GetValue() == 0 {
				continue
			}
			name := strings.TrimPrefix(f.GetName(), "cardamomring_")
			for _, label := range m.GetLabel() {
				name += " " + label.GetValue()
			}
			out[name] = m.GetCounter().GetValue()
		}
	}
	return out
}

// receivedEnvelopes returns the number of envelopes that an agent has received.
func (n *node) receivedEnvelopes(t *testing.T) float64 {
	t.Helper()
	sum := 0.0
	for name, v := range n.nonzeroCounters(t) {
		if strings.HasPrefix(name, "agent_datagrams_total") || strings.HasPrefix(name, "agent_dropped_total") {
			sum += v
		}
	}
	return sum
}

// acceptedFlows returns the number of flows that an agent has accepted.
func (n *node) acceptedFlows(t *testing.T) int64 {
	t.Helper()
	return int64(n.nonzeroCounters(t)["agent_datagrams_total accept"])
}
