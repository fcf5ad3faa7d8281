package proxy

import (
	"fmt"
	"net"
	"syscall"
)

// port is a bound socket that does not listen. It keeps its address for one listener after the other:
// while none listens, the kernel refuses connections, and gives the port to no outgoing one.
type port struct{ fd int }

// holdPort returns a free loopback port and its address.
func holdPort() (port, string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return port{}, "", fmt.Errorf("open a socket: %w", err)
	}
	p := port{fd}
	// Without this option, which listeners of package net have too, none could bind the address.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		p.close()
		return port{}, "", fmt.Errorf("allow listeners: %w", err)
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		p.close()
		return port{}, "", fmt.Errorf("bind a port: %w", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		p.close()
		return port{}, "", fmt.Errorf("read the bound port: %w", err)
	}
	address := net.TCPAddr{IP: net.IP(loopback[:]), Port: bound.(*syscall.SockaddrInet4).Port}
	return p, address.String(), nil
}

func (p port) close() { _ = syscall.Close(p.fd) }
