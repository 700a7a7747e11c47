package main

import (
	"fmt"
	"net"
	"syscall"
)

// reservePort returns a loopback port that is free for TCP and UDP. The port
// stays bound, without listening, until release is called: the kernel then
// gives it to nobody who asks for any port, while a process that asks for
// just this one may still listen on it.
func reservePort() (port int, release func(), err error) {
	for range 100 {
		port, release, err = holdPort()
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
	return 0, nil, fmt.Errorf("no port is free for TCP and UDP")
}

// holdPort binds a TCP port.
func holdPort() (int, func(), error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("open a socket: %w", err)
	}
	release := func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		release()
		return 0, nil, fmt.Errorf("share the port: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		release()
		return 0, nil, fmt.Errorf("bind: %w", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		release()
		return 0, nil, fmt.Errorf("read the port: %w", err)
	}
	addr, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		release()
		return 0, nil, fmt.Errorf("the socket has no IPv4 address")
	}
	return addr.Port, release, nil
}
