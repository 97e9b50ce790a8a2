// Command soak runs a fleet of entry processes under random external faults and checks
// the guarantees that callers and servers rely on. It exits with status 1 after a
// violation and keeps the logs of the failed run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cornelline/cornelline/pkg/soak"
)

type options struct {
	Seed     uint64        `long:"seed" default:"1" description:"the first seed; a run fixes its faults by it"`
	Seeds    int           `long:"seeds" default:"1" description:"number of seeds that follow each other"`
	Minutes  float64       `long:"minutes" description:"play further seeds for so many minutes"`
	Length   time.Duration `long:"length" default:"40s" description:"length of a run: 6 s to settle, faults, 12 s without"`
	Binary   string        `long:"binary" default:"target/cornelline" description:"the program under test"`
	Dir      string        `long:"dir" description:"place of settings and logs; the default is a temporary one, which is kept after a violation"`
	VMs      int           `long:"vms" default:"4" description:"entry VMs of a run"`
	Callers  int           `long:"callers" default:"12" description:"callers of a run"`
	Engines  int           `long:"engines" default:"6" description:"model engines of a run"`
	Parallel int           `long:"parallel" default:"1" description:"runs at the same time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if e, ok := err.(*flags.Error); ok && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken, err := o.runSeeds(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// runSeeds runs all seeds and returns the number of seeds with a violation.
func (o *options) runSeeds(ctx context.Context) (violatedSeeds int, err error) {
	base := o.Dir
	if base == "" {
		if base, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	end := time.Now().Add(time.Duration(o.Minutes * float64(time.Minute)))
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := o.Seed
	nextSeed := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || next >= o.Seed+uint64(o.Seeds) && !time.Now().Before(end) {
			return 0, false
		}
		next++
		return next - 1, true
	}
	for runIndex := range max(o.Parallel, 1) {
		workers.Go(func() {
			for {
				seed, more := nextSeed()
				if !more {
					return
				}
				failed, runErr := o.run(ctx, base, runIndex, seed)
				mu.Lock()
				if failed {
					violatedSeeds++
				}
				if runErr != nil {
					err = runErr
				}
				mu.Unlock()
				if runErr != nil {
					return
				}
			}
		})
	}
	workers.Wait()
	if violatedSeeds == 0 && err == nil && o.Dir == "" {
		return 0, os.RemoveAll(base)
	}
	return violatedSeeds, err
}

// run runs one seed and prints its outcome. It removes the directory of a run without
// violations.
func (o *options) run(ctx context.Context, base string, runIndex int, seed uint64) (failed bool, err error) {
	dir := filepath.Join(base, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	result, err := soak.RunSeed(ctx, soak.Options{
		Seed: seed, Length: o.Length, Binary: o.Binary, Dir: dir, RunIndex: runIndex, VMs: o.VMs, Callers: o.Callers, Engines: o.Engines,
	})
	if err != nil || ctx.Err() != nil {
		return false, err
	}
	if len(result.Violations) == 0 {
		fmt.Printf("seed %d: kept; answers %v\n", seed, result.Counts)
		return false, os.RemoveAll(dir)
	}
	fmt.Printf("seed %d: BROKEN %d times, first: %s\nlogs and settings: %s\n", seed, len(result.Violations), result.Violations[0], dir)
	for _, line := range result.HistoryTail {
		fmt.Println("  ", line)
	}
	return true, nil
}
