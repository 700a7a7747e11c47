package cragent_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cardamomring.dev/internal/crcontrol"
	"cardamomring.dev/internal/crnet"
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// quorumDepositCount is the number of deposits sent with real control
// instances.
const quorumDepositCount = 2000

// instance is a real control instance.
type instance struct {
	settings crdoc.Settings
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// start runs the instance on its data folder.
func (in *instance) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	in.stop = cancel
	ready := make(chan string, 1)
	c := &crcontrol.Control{
		Settings: &in.settings, Registry: prometheus.NewRegistry(), Logf: func(string, ...any) {},
		Ready: func(addr string) { ready <- addr },
	}
	in.done.Go(func() {
		if err := c.Run(ctx); err != nil {
			t.Errorf("%s: %v", in.settings.Name, err)
			ready <- ""
		}
	})
	<-ready
}

// shutdown stops the instance and waits until it has stopped.
func (in *instance) shutdown() {
	in.stop()
	in.done.Wait()
}

// reserveAddr returns a loopback address that stays bound, without listening,
// until the test ends. The kernel then assigns its port to no other socket that
// asks for any port, but an instance that asks for this port can listen on it
// again after a restart.
func reserveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatal("socket has no IPv4 address")
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.Port)
}

// startQuorum starts three control instances.
func startQuorum(t *testing.T) ([]*instance, []string) {
	t.Helper()
	members, addrs := map[uint64]string{}, []string(nil)
	for id := range uint64(3) {
		addr := reserveAddr(t)
		members[id+1] = addr
		addrs = append(addrs, addr)
	}
	var all []*instance
	for id, addr := range addrs {
		in := &instance{settings: crdoc.Settings{
			Name: fmt.Sprintf("c%d", id), Zone: "a", Zones: []string{"a"}, Control: addrs,
			Replica: &crdoc.Replica{ID: uint64(id) + 1, Listen: addr, DataDir: t.TempDir(), Members: members},
		}}
		in.start(t)
		all = append(all, in)
	}
	t.Cleanup(func() {
		for _, in := range all {
			in.shutdown()
		}
	})
	return all, addrs
}

// apply applies a service document. It retries until there is a leader.
func apply(t *testing.T, addr string, doc *crdoc.Service) {
	t.Helper()
	client := &crnet.Client{}
	client.Open()
	defer client.Close()
	change := crwire.Change{ID: "1", Author: "o", Kind: crwire.KindApply, Service: doc}
	for t.Context().Err() == nil {
		var result crwire.Result
		err := client.JSON(t.Context(), addr, "/change", change, &result)
		if err == nil && result.Code == crwire.CodeOK {
			return
		}
		if err == nil && result.Code != crwire.CodeUnavailable {
			t.Fatalf("apply: %+v", result)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestDepositsOverAgentCrashesAndControlRestarts guards against a second run of
// a keyed request when an agent crashes while a control instance restarts.
func TestDepositsOverAgentCrashesAndControlRestarts(t *testing.T) {
	instances, addrs := startQuorum(t)
	doc := document(300 * time.Millisecond)
	doc.Customer, doc.Address, doc.Grace = "labs", "127.0.0.1:4433", crdoc.Duration(time.Second)
	apply(t, addrs[0], doc)
	d := newDepositTest(t, addrs...)
	for _, agent := range d.agents {
		waitForRevision(t, newCaller(t).HTTP, agent.addr, 1)
	}
	rng := rand.New(rand.NewPCG(depositSeed, depositCallers))
	d.run(t, quorumDepositCount, func(n int) {
		in := instances[rng.IntN(len(instances))]
		in.shutdown()
		d.crash(t, rng.IntN(3), n)
		in.start(t)
	})
}
