package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// Ports of scripts lie below those that the kernel gives to whoever asks for
// any port, so that no socket of a caller takes one in between.
const (
	portLow  = 15_000
	portHigh = 32_000
	// portTries bounds the search for a free port.
	portTries = 1000
)

// reservePort returns a loopback port that is free for TCP and UDP. It stays
// bound for TCP, without listening, until release is called: no other script
// can reserve it, while a process that is told to may listen on it.
func reservePort() (port int, release func(), err error) {
	for range portTries {
		port = portLow + rand.IntN(portHigh-portLow)
		release, err = holdPort(port)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return 0, nil, err
		}
		packet, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = packet.Close()
			return port, release, nil
		}
		release()
	}
	return 0, nil, errors.New("no port is free for TCP and UDP")
}

// holdPort binds a TCP port. The address may be shared only after the bind,
// which therefore fails when anyone else holds the port.
func holdPort(port int) (func(), error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("open a socket: %w", err)
	}
	release := func() { _ = syscall.Close(fd) }
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		release()
		return nil, fmt.Errorf("bind: %w", err)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		release()
		return nil, fmt.Errorf("share the port: %w", err)
	}
	return release, nil
}
