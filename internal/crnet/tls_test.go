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

// issue makes an authority with certificates of two processes.
func issue(t *testing.T) (one, two *crdoc.TLS) {
	t.Helper()
	dir := t.TempDir()
	if err := crkeys.WriteAuthority(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	var sets []*crdoc.TLS
	for _, name := range []string{"one", "two"} {
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

// reach calls a server of one side's keys with another side's.
func reach(t *testing.T, server, client *crdoc.TLS) error {
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

func TestProcessesOfOneAuthorityReachEachOther(t *testing.T) {
	one, two := issue(t)
	if err := reach(t, one, two); err != nil {
		t.Error(err)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	one, two := issue(t)
	stranger, _ := issue(t)
	clients := map[string]*crdoc.TLS{
		"plain":                      nil,
		"another authority":          stranger,
		"no certificate":             {CA: one.CA},
		"trusts us, not of us":       {Cert: stranger.Cert, Key: stranger.Key, CA: one.CA},
		"of us, trusts another's CA": {Cert: two.Cert, Key: two.Key, CA: stranger.CA},
	}
	for name, client := range clients {
		if err := reach(t, one, client); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestServerNameIsChecked(t *testing.T) {
	one, _ := issue(t)
	dir := filepath.Dir(one.CA)
	if err := crkeys.WriteCert(dir, "elsewhere", []string{"192.0.2.1"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	other := &crdoc.TLS{
		Cert: filepath.Join(dir, "elsewhere.pem"), Key: filepath.Join(dir, "elsewhere-key.pem"), CA: one.CA,
	}
	if err := reach(t, other, one); err == nil {
		t.Error("a certificate of another address was taken")
	}
}

func TestMissingKeysAreAnError(t *testing.T) {
	one, _ := issue(t)
	if err := os.Remove(one.Key); err != nil {
		t.Fatal(err)
	}
	if _, err := crnet.ServerTLS(one, true); err == nil {
		t.Error("no error")
	}
}
