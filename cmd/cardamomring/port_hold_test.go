package main

import (
	"fmt"
	"net"
	"testing"
)

func TestAReservedPortIsOnlyForWhoNamesIt(t *testing.T) {
	port, release, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if again, err := holdPort(port); err == nil {
		again()
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
