//go:build review

// Command standin runs the review's scripts: it starts the entry processes and the stand-ins
// around them, and checks what clients and servers see. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// limit ends a case that does not end by itself.
const limit = 118 * time.Second

// outcome of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(rec *recorder) (int, string){}

func stringsReader(s string) io.Reader { return strings.NewReader(s) }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	time.AfterFunc(limit, func() {
		rec.log("the case took too long")
		os.Exit(cannotRun)
	})
	code, text := cases[os.Args[1]](rec)
	rec.log("result %d: %s", code, text)
	fmt.Println(text)
	os.Exit(code)
}
