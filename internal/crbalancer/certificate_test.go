package crbalancer_test

import (
	"crypto/tls"
	"testing"

	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/crfake"
)

// TestCertificateReload replaces the certificate's files under a flow: new
// connections see the new one and the flow goes on.
func TestCertificateReload(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 4})
	c.startBalancer("balancer0", loopback)
	c.startAgent("agent0", zones[0], 1)
	c.spray()
	l := startLoad(c, 1, 1000, false)
	before := c.serial()
	c.writeCertificate()
	c.eventually("a new connection sees the new certificate", func() bool { return c.serial() != before })
	l.progress("after the certificate changed")
	_, failed, dials, cut := l.end()
	if failed != 0 || cut != 0 || dials != 1 {
		t.Errorf("failed requests %d, connections cut %d, opened %d", failed, cut, dials)
	}
}

// serial opens a connection and returns the certificate's serial number.
func (c *cluster) serial() string {
	c.t.Helper()
	caller := c.caller()
	tr, ok := caller.client.Transport.(*http3.Transport)
	if !ok {
		c.t.Fatal("the client's transport is not HTTP/3")
	}
	var serial string
	tr.TLSClientConfig = &tls.Config{InsecureSkipVerify: true, VerifyConnection: func(s tls.ConnectionState) error {
		serial = s.PeerCertificates[0].SerialNumber.String()
		return nil
	}}
	if err := caller.get(10); err != nil {
		c.t.Fatal(err)
	}
	caller.client.CloseIdleConnections()
	return serial
}
