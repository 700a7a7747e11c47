package cragent_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/internal/crkeys"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crrun"
	"cardamomring.dev/pkg/crdoc"
)

func TestBackendServerIsCalledWithoutTLS(t *testing.T) {
	dir := t.TempDir()
	if err := crkeys.WriteAuthority(dir, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := crkeys.WriteCert(dir, "a0", []string{"127.0.0.1"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	cfg := &crdoc.TLS{
		Cert: filepath.Join(dir, "a0.pem"), Key: filepath.Join(dir, "a0-key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	serverTLS, err := crnet.ServerTLS(cfg, true)
	if err != nil {
		t.Fatal(err)
	}
	clientTLS, err := crnet.ClientTLS(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c := newControl(document(testDeadline))
	c.server.TLS = serverTLS
	c.server.StartTLS()
	t.Cleanup(c.server.Close)
	agent := startAgentWith(t, crdoc.Settings{
		Name: "a0", Zone: "a", Zones: []string{"a"}, Control: []string{c.addr()}, TLS: cfg,
		Agent: &crdoc.Agent{
			Service: "core", Host: "h", Backend: startBackend(t, crfake.Switches{}).Bound(), Listen: "127.0.0.1:0", Weight: 1,
		},
	})
	client := &crnet.Client{TLS: clientTLS}
	client.Open()
	t.Cleanup(client.Close)
	waitForRevision(t, client, agent.addr, 2)
	caller := &crrun.Client{HTTP: client}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	got := summarize(caller.SendToAgent(ctx, agent.addr, request("POST", "/deposits", "k", "d")))
	if diff := cmp.Diff(done(depositBody), got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
