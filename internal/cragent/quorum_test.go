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

// quorumDeposits is how many deposits the real control instances see.
const quorumDeposits = 2000

// instance is one real control instance.
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

// halt stops the instance.
func (in *instance) halt() {
	in.stop()
	in.done.Wait()
}

// holdAddr returns a loopback address that stays bound, without listening,
// until the test ends: the kernel gives its port to nobody who asks for any,
// while an instance that asks for it may listen again after a stop.
func holdAddr(t *testing.T) string {
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
		t.Fatal("the socket has no IPv4 address")
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.Port)
}

// startQuorum runs three control instances.
func startQuorum(t *testing.T) ([]*instance, []string) {
	t.Helper()
	members, addrs := map[uint64]string{}, []string(nil)
	for id := range uint64(3) {
		addr := holdAddr(t)
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
			in.halt()
		}
	})
	return all, addrs
}

// apply sets a document, as soon as there is a leader.
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

func TestDepositsOverCrashesOfAgentsAndControl(t *testing.T) {
	instances, addrs := startQuorum(t)
	doc := document(300 * time.Millisecond)
	doc.Customer, doc.Address, doc.Grace = "labs", "127.0.0.1:4433", crdoc.Duration(time.Second)
	apply(t, addrs[0], doc)
	l := newLedger(t, addrs...)
	for _, agent := range l.agents {
		waitRevision(t, newCaller(t).HTTP, agent.addr, 1)
	}
	rng := rand.New(rand.NewPCG(depositSeed, teachers))
	l.run(t, quorumDeposits, func(n int) {
		in := instances[rng.IntN(len(instances))]
		in.halt()
		l.crash(t, rng.IntN(3), n)
		in.start(t)
	})
}
