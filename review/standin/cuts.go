//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() {
	cases["long-failure"] = longFailure
}

// longFailure: engines answer with a failure whose body does not end.
func longFailure(rec *recorder) (int, string) {
	w, err := newWorld(rec, worldOptions{vms: 4, engines: 6, plain: 3, events: 30, interval: 20 * time.Millisecond})
	if err != nil {
		return cannotRun, err.Error()
	}
	defer w.close()
	var sent atomic.Int64
	for _, e := range w.engines {
		h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if !w.trouble || !strings.HasPrefix(r.URL.Path, "/gen/") || r.Header.Get("Expected-Instance") != e.ID {
				e.Engine.ServeHTTP(rw, r)
				return
			}
			rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			rw.Header().Set("Response-Signature", e.ID+"."+r.Header.Get("Request-Id"))
			rw.WriteHeader(http.StatusInternalServerError)
			line := []byte(strings.Repeat("engine in trouble. ", 1000))
			for {
				n, err := rw.Write(line)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		e.wrap.Store(&h)
	}
	w.startVMs()
	if !w.awaitReady(10 * time.Second) {
		return cannotRun, "the VMs did not become ready"
	}
	time.Sleep(5 * time.Second)
	c := newClient()
	bad := 0
	for n := range 12 {
		a := w.send(c, w.vms[n%4].front(), w.nextID("gen"), "gen", "", 10*time.Second)
		if a.status >= 500 && a.complete && a.header.Get("Response-Signature") != "" {
			bad++
		}
	}
	text := fmt.Sprintf("%d of 12 requests got a signed failure whose body looks whole, though the server's did not end", bad)
	if bad > 0 {
		return broken, text
	}
	return held, text
}
