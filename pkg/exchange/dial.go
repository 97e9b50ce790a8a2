package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer returns a dial function for TCP connections. connectTimeout bounds the
// time to connect. A connection fails when sent bytes remain unacknowledged for
// ackTimeout, so that a network partition is detected. If keepAlive is above 0, an
// idle connection is probed at this interval and fails after one unanswered probe.
func Dialer(connectTimeout, ackTimeout, keepAlive time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: connectTimeout, KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{Enable: keepAlive > 0, Idle: keepAlive, Interval: keepAlive, Count: 1},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
	return d.DialContext
}
