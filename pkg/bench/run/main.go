// Command run runs the policy bench and prints its tables. With --docs it also writes
// them and the latency plots to the measurements page.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cornelline/cornelline/pkg/bench"
)

type options struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random sources"`
	Match   string `long:"match" description:"run only scenarios whose deployment and name contain this"`
	Policy  string `long:"policy" description:"run only policies whose name contains this"`
	Workers int    `long:"workers" default:"3" description:"runs at a time"`
	Docs    string `long:"docs" description:"directory of the measurements page and plots; empty writes nothing"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	began := time.Now()
	results := bench.Run(o.Seed, o.Match, o.Policy, o.Workers)
	fmt.Println(bench.Table(results))
	fmt.Fprintf(os.Stderr, "%d runs in %v\n", len(results), time.Since(began).Round(time.Second))
	if o.Docs == "" {
		return
	}
	if err := bench.Write(o.Docs, o.Seed, results); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
