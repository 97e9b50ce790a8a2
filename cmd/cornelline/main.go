// Command cornelline runs the entry daemon and the operators' command-line tools.
package main

import (
	"context"
	"os"

	"github.com/cornelline/cornelline/pkg/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
