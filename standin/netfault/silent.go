package netfault

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// silentDialTimeout is the time after which a SYN counts as dropped. On
	// loopback the kernel answers a SYN in well below a millisecond.
	silentDialTimeout = 200 * time.Millisecond
	// maxSilentDials is the maximum number of connections opened to fill the
	// accept queue. It is above the number that a backlog of 0 accepts.
	maxSilentDials = 8
)

// ListenSilent returns a loopback address (IP:port) that does not reply to
// connection attempts, as if the network lost all packets. It listens with a
// backlog of 0 and fills the accept queue, so that the kernel drops further
// SYNs. The caller calls stop to release the address. ListenSilent returns an
// error if it cannot listen or if the kernel still accepts connections after
// maxSilentDials of them.
func ListenSilent() (address string, stop func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return "", nil, errors.Wrap(err, "silent address: create socket")
	}
	var conns []net.Conn
	stop = func() {
		for _, nc := range conns {
			_ = nc.Close()
		}
		_ = syscall.Close(fd)
	}
	if address, err = listenWithoutBacklog(fd); err != nil {
		stop()
		return "", nil, errors.Wrap(err, "silent address: listen with backlog 0")
	}
	for range maxSilentDials {
		nc, err := net.DialTimeout("tcp", address, silentDialTimeout)
		if err != nil {
			return address, stop, nil
		}
		conns = append(conns, nc)
	}
	stop()
	return "", nil, errors.New("silent address: connections still succeed although the accept queue should be full")
}

// listenWithoutBacklog binds the socket to a free loopback port, listens with a
// backlog of 0 and returns the address.
func listenWithoutBacklog(fd int) (address string, err error) {
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return "", err
	}
	sockaddr, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.0.1:%d", sockaddr.(*syscall.SockaddrInet4).Port), nil
}
