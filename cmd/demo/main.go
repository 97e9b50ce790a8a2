// Command demo starts the stand-ins and four entry VMs as separate processes,
// sends requests of all ranks, loses a stage in the middle of a generation,
// shows the answers, an explanation and the counters, and stops everything
// gracefully. It exits non-zero when an answer was wrong.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// demoTimeout ends a demo that hangs.
const demoTimeout = 100 * time.Second

// options are the command line flags.
type options struct {
	Bin string `long:"bin" default:"bin" description:"folder of the cornelline and standin binaries"`
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
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	err := run(ctx, opts)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed: every answer was right")
}

// run carries out the demo and stops all processes whatever happens.
func run(ctx context.Context, opts options) (err error) {
	c, err := newCluster(opts.Bin)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.stop()) }()
	if err := c.start(ctx); err != nil {
		return err
	}
	for _, step := range []struct {
		title string
		run   func(context.Context, *cluster) error
	}{
		{"settings", applySettings},
		{"which entry VMs to use", showAddress},
		{"requests of all ranks", allRanks},
		{"a booking, sent twice with one key through two VMs", bookTwice},
		{"a stage dies in the middle of a generation", loseStage},
		{"counters", showCounters},
		{"planned stop of one VM under a running stream", drainUnderLoad},
	} {
		fmt.Printf("\n== %s\n", step.title)
		if err := step.run(ctx, c); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	return nil
}
