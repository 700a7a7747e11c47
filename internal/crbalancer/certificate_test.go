package crbalancer_test

import (
	"crypto/tls"
	"testing"

	"github.com/quic-go/quic-go/http3"

	"cardamomring.dev/internal/crfake"
)

// TestCertificateReload replaces the certificate files during a flow. New
// connections must get the new certificate and the flow must continue.
func TestCertificateReload(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 4})
	c.startBalancer("balancer0", loopback)
	c.startAgent("agent0", zones[0], 1)
	c.updateFabric()
	l := startLoad(c, 1, 1000, false)
	before := c.certificateSerial()
	c.writeCertificate()
	c.eventually("a new connection gets the new certificate", func() bool { return c.certificateSerial() != before })
	l.awaitProgress("after the certificate changed")
	_, failed, dials, aborted := l.finish()
	if failed != 0 || aborted != 0 || dials != 1 {
		t.Errorf("failed requests %d, connections aborted %d, opened %d", failed, aborted, dials)
	}
}

// certificateSerial opens a connection and returns the serial number of its
// certificate.
func (c *cluster) certificateSerial() string {
	c.t.Helper()
	caller := c.newCaller()
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
