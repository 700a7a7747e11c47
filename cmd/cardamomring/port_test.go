package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// Ports of scripts are below the kernel's range of ephemeral ports, so that the
// socket of a caller can't get one of them before its process listens on it.
const (
	portMin = 15_000
	portMax = 32_000
	// maxPortTries limits the search for a free port.
	maxPortTries = 1000
)

// reservePort returns a loopback port that is free for TCP and UDP. It stays
// bound for TCP, without listening, until release is called. No other script can
// reserve it, but a process that is given the port can listen on it.
func reservePort() (port int, release func(), err error) {
	for range maxPortTries {
		port = portMin + rand.IntN(portMax-portMin)
		release, err = bindPort(port)
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

// bindPort binds a TCP port. It sets SO_REUSEADDR only after the bind, so that the
// bind fails if the port is in use.
func bindPort(port int) (func(), error) {
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
		return nil, fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	return release, nil
}
