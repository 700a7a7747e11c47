package cropaqueio_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/cropaque"
	"cardamomring.dev/internal/cropaqueio"
	"cardamomring.dev/internal/crwire"
)

// TestAgentWithoutSources guards against an agent that ends because its settings name no
// control instance when its backend server is announced: it announces itself to the first
// one that they name later.
func TestAgentWithoutSources(t *testing.T) {
	announced := make(chan struct{}, 10)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/announce" {
			http.Error(w, "no view", http.StatusServiceUnavailable)
			return
		}
		crnet.WriteJSON(w, http.StatusOK, &crwire.AnnounceResponse{Num: 1})
		select {
		case announced <- struct{}{}:
		default:
		}
	}))
	defer control.Close()
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	a := &cropaqueio.Agent{
		Name: "agent-1", Zone: "a", Host: "h", Backend: "127.0.0.1:9", FrameAddr: "127.0.0.1:0", OutboundAddr: "127.0.0.1:0",
		AnnounceInterval: time.Second, Client: client, Registry: prometheus.NewRegistry(), Logger: &log.Logger{Handler: discard.New()},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() {
		if err := a.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	for a.Serving() != nil {
		time.Sleep(time.Millisecond)
	}
	a.HandleAnnouncement(cropaque.Server{ID: "s", StartedMS: 1, Seq: 1, Service: "ledger", Slots: 3})
	// The agent runs without sources in this time.
	time.Sleep(50 * time.Millisecond)
	a.SetSources([]string{strings.TrimPrefix(control.URL, "http://")})
	<-announced
	cancel()
	done.Wait()
}
