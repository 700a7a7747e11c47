package main

import (
	"fmt"
	"net"
	"testing"
)

// TestReservePort checks that a reserved port can't be reserved again, and that a
// process can still listen on it, also after a restart.
func TestReservePort(t *testing.T) {
	port, release, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if releaseSecond, err := bindPort(port); err == nil {
		releaseSecond()
		t.Errorf("port %d is reserved twice", port)
	}
	for range 2 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			t.Fatalf("a process can't listen on its port: %v", err)
		}
		_ = l.Close()
	}
}
