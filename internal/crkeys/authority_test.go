package crkeys_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crkeys"
	"cardamomring.dev/pkg/crdoc"
)

func TestCertificateIsValidForItsHosts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	now := time.Now()
	if err := crkeys.WriteAuthority(dir, now); err != nil {
		t.Fatal(err)
	}
	if err := crkeys.WriteCert(dir, "agent1", []string{"127.0.0.1", "ledger.example"}, now); err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "agent1.pem"), filepath.Join(dir, "agent1-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil || !roots.AppendCertsFromPEM(ca) {
		t.Fatalf("read the certificate authority: %v", err)
	}
	for host, want := range map[string]bool{"127.0.0.1": true, "ledger.example": true, "other.example": false} {
		if got := handshake(t, pair, roots, host); got != want {
			t.Errorf("handshake as %s: %t, want %t", host, got, want)
		}
	}
	if handshake(t, pair, x509.NewCertPool(), "127.0.0.1") {
		t.Error("a client without the authority accepted the certificate")
	}
}

// handshake reports whether a TLS handshake with host succeeds if client and
// server both use pair and roots.
func handshake(t *testing.T, pair tls.Certificate, roots *x509.CertPool, host string) bool {
	t.Helper()
	serverConn, clientConn := newConnPair(t)
	server := tls.Server(serverConn, &tls.Config{
		Certificates: []tls.Certificate{pair}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
	})
	client := tls.Client(clientConn, &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: roots, ServerName: host, MinVersion: tls.VersionTLS13,
	})
	done := make(chan error, 1)
	go func() {
		err := server.Handshake()
		_ = serverConn.Close()
		done <- err
	}()
	err := client.Handshake()
	_ = clientConn.Close()
	return <-done == nil && err == nil
}

// newConnPair returns the two ends of a TCP connection. An unbuffered connection
// such as net.Pipe would deadlock: a client that rejects the certificate writes an
// alert while the server may still be writing.
func newConnPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _, _ = server.Close(), client.Close(), listener.Close() })
	return server, client
}

func TestKeyFilesArePrivateAndNeverOverwritten(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	secret := filepath.Join(dir, "new.key")
	write := []func() error{
		func() error { return crkeys.WriteAuthority(dir, now) },
		func() error { return crkeys.WriteCert(dir, "agent1", nil, now) },
		func() error { return crkeys.WriteSecret(secret) },
	}
	for _, f := range write {
		if err := f(); err != nil {
			t.Fatal(err)
		}
	}
	before := readFiles(t, dir)
	for i, f := range write {
		if f() == nil {
			t.Errorf("write function %d overwrote a file", i)
		}
	}
	if err := crkeys.WriteCert(dir, "ca", nil, now); err == nil {
		t.Error("a certificate with the name of the authority was accepted")
	}
	if err := crkeys.WriteCert(dir, "../agent2", nil, now); err == nil {
		t.Error("a certificate name that leads outside the directory was accepted")
	}
	if diff := cmp.Diff(before, readFiles(t, dir)); diff != "" {
		t.Errorf("files changed (-before +after):\n%s", diff)
	}
	if _, err := crdoc.ParseKey([]byte(before["new.key 0600"])); err != nil {
		t.Errorf("the secret is not a valid key: %v", err)
	}
}

// readFiles maps the name and mode of each file in a directory to its contents, and
// checks that all expected files are there.
func readFiles(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			t.Fatal(err)
		}
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		mode := " 0644"
		if info.Mode().Perm() == 0o600 {
			mode = " 0600"
		}
		out[entry.Name()+mode] = string(data)
	}
	for _, name := range []string{"ca.pem 0644", "ca-key.pem 0600", "agent1.pem 0644", "agent1-key.pem 0600", "new.key 0600"} {
		if out[name] == "" {
			t.Errorf("file %s is missing, empty or has another mode", name)
		}
	}
	return out
}
