package netfault

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// silentDialTimeout tells a dropped SYN from one that is answered, which
	// takes well below a millisecond on loopback.
	silentDialTimeout = 200 * time.Millisecond
	// maxSilentDials is above the connections that a backlog of 0 takes.
	maxSilentDials = 8
)

// ListenSilent returns an address at which connecting gets no reply, as behind a
// link that loses all packets: the queue of connections to accept is full, so
// the kernel drops further SYNs.
func ListenSilent() (address string, stop func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return "", nil, errors.Wrap(err, "silent address")
	}
	var queued []net.Conn
	stop = func() {
		for _, nc := range queued {
			_ = nc.Close()
		}
		_ = syscall.Close(fd)
	}
	if address, err = listenWithoutBacklog(fd); err != nil {
		stop()
		return "", nil, errors.Wrap(err, "silent address")
	}
	for range maxSilentDials {
		nc, err := net.DialTimeout("tcp", address, silentDialTimeout)
		if err != nil {
			return address, stop, nil
		}
		queued = append(queued, nc)
	}
	stop()
	return "", nil, errors.New("silent address: connections to a full listener still succeed")
}

func listenWithoutBacklog(fd int) (address string, err error) {
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
}
