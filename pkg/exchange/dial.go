package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dial function with a time limit for the connection and one
// for sent bytes that the other side does not acknowledge, so that a connection
// behind a partition ends. With keepAlive above zero, an idle connection is probed
// at that interval and ends after a probe without an answer.
func Dialer(connect, unacknowledged, keepAlive time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: connect, KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{Enable: keepAlive > 0, Idle: keepAlive, Interval: keepAlive, Count: 1},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext
}
