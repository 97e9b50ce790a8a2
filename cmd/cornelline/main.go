// Command cornelline is the entry daemon and the operator's command line.
package main

import (
	"context"
	"os"

	"github.com/cornelline/cornelline/pkg/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
