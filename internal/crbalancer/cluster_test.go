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
	loopback = "127.0.0.1:0"
	ledger   = "loftbook"
	// patience bounds each wait of a test; reaching it is a failure.
	patience = 20 * time.Second
)

var zones = []string{"neng-a", "neng-b", "neng-c"}

// cluster is a whole system in one process, behind a fabric.
type cluster struct {
	t       *testing.T
	dir     string
	control *fakeControl
	fabric  *crfake.Fabric
	pool    *x509.CertPool
	nodes   map[string]*node
	serials int64
	// controlAt is where processes that start find control.
	controlAt string
	// keepAlive is how often waiting callers send something; 0 for never.
	keepAlive time.Duration
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

// newCluster starts control and the fabric, and applies the document.
func newCluster(t *testing.T, fabric *crfake.Fabric) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), control: newControl(t), fabric: fabric,
		pool: x509.NewCertPool(), nodes: map[string]*node{},
	}
	c.controlAt = c.control.addr
	fabric.Addr = loopback
	if err := fabric.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fabric.Close() })
	c.writeKeys()
	c.control.apply(c.document(1))
	return c
}

// document returns the service's document under a version.
func (c *cluster) document(version uint64) crdoc.Service {
	return crdoc.Service{
		Name: ledger, Customer: "consortium", Version: version, Address: c.fabric.Bound().String(), Zones: zones,
		Limit: crdoc.Limit{Start: 100, Max: 1000},
		Classes: []crdoc.Class{{
			Name: "all", Priority: true, Repeatable: true, Deadline: crdoc.Duration(patience),
			Match: []crdoc.Match{{Prefix: "/"}},
		}},
		Grace: crdoc.Duration(patience),
	}
}

// writeKeys writes a certificate and a shared key.
func (c *cluster) writeKeys() {
	c.t.Helper()
	c.writeCertificate()
	c.write("shared", []byte(strings.Repeat("5a", 32)))
}

// writeCertificate writes a new certificate, which callers trust.
func (c *cluster) writeCertificate() {
	c.t.Helper()
	c.serials++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		c.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(c.serials), Subject: pkix.Name{CommonName: ledger}, NotAfter: time.Now().Add(time.Hour),
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

// write writes a file of the cluster.
func (c *cluster) write(name string, data []byte) {
	c.t.Helper()
	if err := os.WriteFile(c.path(name), data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// path returns the path of a file of the cluster.
func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

// settings returns what every process shares.
func (c *cluster) settings(name, zone string) *crdoc.Settings {
	return &crdoc.Settings{
		Name: name, Zone: zone, Zones: zones, Control: []string{c.controlAt},
		Keys: []crdoc.Key{{ID: 1, File: c.path("shared")}},
	}
}

// startBalancer starts a balancer; local is where it takes datagrams.
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
	c.run(name, n, n.balancer.Run)
	<-ready
	c.eventually(name+" listens", func() bool { _, ok := n.balancer.DatagramAddr(ledger); return ok })
}

// startAgent starts an agent with its own backend server.
func (c *cluster) startAgent(name, zone string, weight int) {
	c.t.Helper()
	c.startAgentBeside(name, zone, weight, serveBytes)
}

// startAgentBeside starts an agent with a backend server that answers so.
func (c *cluster) startAgentBeside(name, zone string, weight int, serve http.HandlerFunc) {
	c.t.Helper()
	n := &node{settings: c.settings(name, zone)}
	n.backend = &crnet.Server{Addr: loopback, Handler: serve}
	if err := n.backend.Start(); err != nil {
		c.t.Fatal(err)
	}
	n.settings.Agent = &crdoc.Agent{
		Service: ledger, Host: name, Backend: n.backend.Bound(), Listen: loopback, DatagramAddr: loopback,
		Weight: weight, Cert: c.path("cert.pem"), Key: c.path("key.pem"),
	}
	n.registry = prometheus.NewRegistry()
	a := &cragent.Agent{Settings: n.settings, Registry: n.registry, Ready: func(string) {}, Logf: c.t.Logf}
	c.run(name, n, a.Run)
	c.eventually(name+" is a member", func() bool { return c.member(name) })
}

// run runs a role until stop.
func (c *cluster) run(name string, n *node, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan error, 1)
	go func() { n.done <- run(ctx) }()
	c.nodes[name] = n
	c.t.Cleanup(func() { c.stop(name) })
}

// stop stops a role gracefully and waits for it.
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

// member reports whether control knows an agent.
func (c *cluster) member(name string) bool {
	for _, m := range c.control.source.View().Members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// spray lets the fabric use the balancers that run.
func (c *cluster) spray() {
	var addrs []netip.AddrPort
	for _, n := range c.nodes {
		if n.balancer == nil {
			continue
		}
		if addr, ok := n.balancer.DatagramAddr(ledger); ok {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	c.fabric.SetBalancers(addrs...)
}

// eventually waits until something holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// caller returns an HTTP/3 client with its own socket.
func (c *cluster) caller() *caller {
	tr := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: c.pool},
		QUICConfig:      &quic.Config{MaxIdleTimeout: patience, HandshakeIdleTimeout: patience, KeepAlivePeriod: c.keepAlive},
	}
	c.t.Cleanup(func() { _ = tr.Close() })
	return &caller{client: &http.Client{Transport: tr, Timeout: patience}, url: "https://" + c.fabric.Bound().String()}
}

// caller is an HTTP/3 client.
type caller struct {
	client *http.Client
	url    string
}

// get asks for n bytes and says what is wrong with the answer.
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

// serveBytes is a backend server that answers with as many bytes as asked.
func serveBytes(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("n"))
	_, _ = w.Write(pattern(n))
}

// pattern returns n bytes that show a cut or a swap.
func pattern(n int) []byte {
	out := make([]byte, 0, n+8)
	for i := 0; len(out) < n; i++ {
		out = fmt.Appendf(out, "%07d ", i)
	}
	return out[:n]
}

// counts returns the counters of a node that are not zero, by label.
func (n *node) counts(t *testing.T) map[string]float64 {
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

// received returns how many envelopes an agent has been sent.
func (n *node) received(t *testing.T) float64 {
	t.Helper()
	sum := 0.0
	for name, v := range n.counts(t) {
		if strings.HasPrefix(name, "agent_datagrams_total") || strings.HasPrefix(name, "agent_dropped_total") {
			sum += v
		}
	}
	return sum
}

// held returns how many flows an agent has accepted.
func (n *node) held(t *testing.T) int64 {
	t.Helper()
	return int64(n.counts(t)["agent_datagrams_total accept"])
}
