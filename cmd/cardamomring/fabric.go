package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"cardamomring.dev/internal/crfake"
)

// fabricArgs are the arguments of fabric.
type fabricArgs struct {
	Balancers []netip.AddrPort `arg:"positional,required" placeholder:"BALANCER" help:"IP:PORT where a balancer takes the service's datagrams"`
	Listen    string           `arg:"-l,--listen,required" placeholder:"IP:PORT" help:"the service's address"`
	Delay     time.Duration    `arg:"--delay" help:"longest delay of a datagram; each draws its own"`
	Drop      float64          `arg:"--drop" help:"share of datagrams lost in each direction"`
	Seed      uint64           `arg:"--seed" default:"1" help:"seed of the choices"`
}

// runFabric forwards each datagram to a randomly chosen balancer until ctx ends.
func runFabric(ctx context.Context, a *fabricArgs, errOut io.Writer) int {
	fabric := &crfake.Fabric{Addr: a.Listen, Seed: a.Seed, MaxDelay: a.Delay, LossRate: a.Drop}
	if err := fabric.Start(); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	fabric.SetBalancers(a.Balancers...)
	fmt.Fprintf(errOut, "fabric listens on %s\n", fabric.Bound())
	<-ctx.Done()
	for addr, n := range fabric.Sent() {
		fmt.Fprintf(errOut, "handed %d datagrams to %s\n", n, addr)
	}
	if err := fabric.Close(); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}
