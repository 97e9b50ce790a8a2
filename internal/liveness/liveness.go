// Package liveness tells whether the process of a server has ended that broke a connection.
package liveness

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/cornelline/cornelline/pkg/exchange"
)

const (
	// checkTimeout bounds the check.
	checkTimeout = 150 * time.Millisecond
	// exitTime is the time within which a process that ends closes all its connections and its port.
	exitTime = 20 * time.Millisecond
)

// HasEnded reports whether the process at an address has ended: its host refuses connections, at
// once or after it has broken a new one. A host that does not answer may only be out of reach.
func HasEnded(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return exchange.IsConnectionRefused(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(exitTime)); err != nil {
		return false
	}
	if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return false // the process keeps the connection
	}
	again, err := dial(ctx, "tcp", address)
	if err != nil {
		return exchange.IsConnectionRefused(err)
	}
	_ = again.Close()
	return false
}
