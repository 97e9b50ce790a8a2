// Command standin runs stand-ins of the platform's services and of the upstreams in one
// process. A JSON file lists them.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/cornelline/cornelline/pkg/standin"
)

// options are the command line flags.
type options struct {
	Config string `long:"config" required:"true" description:"JSON file that lists the stand-ins and their listen addresses"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run starts the stand-ins and serves until SIGINT or SIGTERM.
func run(opts options) error {
	config, err := standin.ReadConfig(opts.Config)
	if err != nil {
		return err
	}
	group, err := standin.Start(config, standin.ListenTCP, nil)
	if err != nil {
		return err
	}
	defer group.Close()
	fmt.Printf("%d stand-ins are serving\n", len(group.StandIns))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
