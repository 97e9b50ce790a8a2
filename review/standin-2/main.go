//go:build review

package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotDone = 2
)

// cases lists the cases by name. A case returns an error if it could not run.
var cases = map[string]func(rec *record, trouble bool) error{
	"configuration-reverts": configurationReverts,
	"foreign-entries":       foreignEntries,
	"incomplete-entry":      incompleteEntry,
	"odd-token-counts":      oddTokenCounts,
	"requests-without-id":   requestsWithoutID,
	"too-long-prompts":      tooLongPrompts,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE RECORD")
		return exitNotDone
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotDone
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %t", os.Args[1], trouble)
	err = cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.close("not run: " + err.Error())
		return exitNotDone
	case rec.isBroken():
		rec.close("broken")
		return exitBroken
	}
	rec.close("held")
	return exitHeld
}
