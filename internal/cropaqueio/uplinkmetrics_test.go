package cropaqueio_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaqueio"
)

// TestUplinkMetrics checks that a balancer whose link is known has its metrics before it
// knows a route for uploads.
func TestUplinkMetrics(t *testing.T) {
	client := &crnet.Client{}
	client.Open()
	b := &cropaqueio.Balancer{
		Name: "b", CallerAddr: "127.0.0.1:0", FrameAddr: "127.0.0.1:0", Sources: []string{"127.0.0.1:1"}, LinkBytes: 1e6, Client: client,
		Registry: prometheus.NewRegistry(), Logger: &log.Logger{Handler: discard.New()},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	var names []string
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		families, err := b.Registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		names = names[:0]
		for _, f := range families {
			names = append(names, f.GetName())
		}
		if slices.Contains(names, "cardamomring_uplink_dropped_total") {
			break
		}
	}
	for _, name := range []string{"turns", "turns_waiting", "packets_waiting", "bytes_waiting", "dropped_total", "moved_total", "turn_wait_seconds", "packet_wait_seconds"} {
		if !slices.Contains(names, "cardamomring_uplink_"+name) {
			t.Errorf("no metric %s", name)
		}
	}
	cancel()
	if diff := cmp.Diff(error(nil), <-done); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
}
