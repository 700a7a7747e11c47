package crnet_test

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cardamomring.dev/internal/crkeys"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/pkg/crdoc"
)

// issueCerts returns the TLS settings of two processes whose certificates are signed
// by the same new authority.
func issueCerts(t *testing.T) (first, second *crdoc.TLS) {
	t.Helper()
	dir := t.TempDir()
	if err := crkeys.WriteAuthority(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	var sets []*crdoc.TLS
	for _, name := range []string{"first", "second"} {
		if err := crkeys.WriteCert(dir, name, []string{"127.0.0.1"}, time.Now()); err != nil {
			t.Fatal(err)
		}
		sets = append(sets, &crdoc.TLS{
			Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"),
			CA: filepath.Join(dir, "ca.pem"),
		})
	}
	return sets[0], sets[1]
}

// call starts a server with the TLS settings server, sends it a request with the
// TLS settings client, and returns the error of the request.
func call(t *testing.T, server, client *crdoc.TLS) error {
	t.Helper()
	config, err := crnet.ServerTLS(server, true)
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { crnet.WriteJSON(w, http.StatusOK, 1) })
	s := &crnet.Server{Addr: "127.0.0.1:0", Handler: handler, TLS: config}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	c := &crnet.Client{}
	if c.TLS, err = crnet.ClientTLS(client); err != nil {
		t.Fatal(err)
	}
	c.Open()
	defer c.Close()
	var out int
	return c.JSON(t.Context(), s.Bound(), "/", nil, &out)
}

func TestProcessesOfSameAuthorityConnect(t *testing.T) {
	first, second := issueCerts(t)
	if err := call(t, first, second); err != nil {
		t.Error(err)
	}
}

func TestUntrustedClientsAreRejected(t *testing.T) {
	first, second := issueCerts(t)
	untrusted, _ := issueCerts(t)
	clients := map[string]*crdoc.TLS{
		"plain HTTP": nil,
		"certificate and CA of another authority": untrusted,
		"no certificate":                   {CA: first.CA},
		"certificate of another authority": {Cert: untrusted.Cert, Key: untrusted.Key, CA: first.CA},
		"CA of another authority":          {Cert: second.Cert, Key: second.Key, CA: untrusted.CA},
	}
	for name, client := range clients {
		if err := call(t, first, client); err == nil {
			t.Errorf("%s: call succeeded, want an error", name)
		}
	}
}

func TestServerNameIsChecked(t *testing.T) {
	first, _ := issueCerts(t)
	dir := filepath.Dir(first.CA)
	if err := crkeys.WriteCert(dir, "other", []string{"192.0.2.1"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	other := &crdoc.TLS{
		Cert: filepath.Join(dir, "other.pem"), Key: filepath.Join(dir, "other-key.pem"), CA: first.CA,
	}
	if err := call(t, other, first); err == nil {
		t.Error("a server certificate for another address was accepted")
	}
}

func TestMissingKeysAreAnError(t *testing.T) {
	first, _ := issueCerts(t)
	if err := os.Remove(first.Key); err != nil {
		t.Fatal(err)
	}
	if _, err := crnet.ServerTLS(first, true); err == nil {
		t.Error("ServerTLS succeeded without the key file")
	}
}
