// Command demo starts the stand-ins and four entry VMs as separate processes. It sends
// requests of all ranks, crashes an engine during a generation, prints the answers, an
// explanation and the counters, and stops all processes gracefully. It exits with a
// non-zero status if an answer is wrong or a step fails.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// demoTimeout limits the duration of the demo.
const demoTimeout = 100 * time.Second

// options holds the command-line flags.
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

// run executes the steps of the demo. It stops all processes even after an error.
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
		{"requests of all ranks", requestAllRanks},
		{"a booking, sent twice with one key through two VMs", bookTwice},
		{"a stage dies in the middle of a generation", crashStage},
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
