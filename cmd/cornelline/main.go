// Command cornelline is the entry daemon and the operator's command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cornelline/cornelline/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
