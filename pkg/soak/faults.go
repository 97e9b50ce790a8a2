package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fault begins a disturbance and returns its name and what ends it.
type fault func(w *World) (name string, end func())

// faults are drawn with equal chances; several may hold at once, also of one kind.
var faults = []fault{
	killVM, pauseVM, terminateVM, killAll, cutStore, cutStore, hurtServer, hurtServer, resetLinks, plainFault, breakStream, breakAll,
	loseWrites, storeDown, forget, rebalance, changeConfig, drainPlain,
}

// disturb injects faults until the calm at the end.
func (w *World) disturb(ctx context.Context) {
	w.sleep(ctx, settle)
	end := w.began.Add(w.options.Length - calm)
	// Some runs leave the VMs in peace for seconds: several promises hold only for VMs
	// that nothing disturbs.
	pace := time.Duration(1 + w.random.IntN(4))
	var open sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		name, stop := faults[w.random.IntN(len(faults))](w)
		lasts := time.Duration(500+w.random.IntN(3500)) * time.Millisecond
		gap := pace * time.Duration(200+w.random.IntN(1500)) * time.Millisecond
		if strings.HasPrefix(name, drainName) {
			lasts += drainTime // that long it may still get requests
		}
		w.note("%s", name)
		if stop != nil {
			open.Go(func() {
				w.sleep(ctx, min(lasts, time.Until(end)))
				stop()
				w.note("over: %s", name)
			})
		}
		w.sleep(ctx, gap)
	}
	open.Wait()
}

func (w *World) anyVM() *VM { return w.vms[w.random.IntN(len(w.vms))] }

func killVM(w *World) (string, func()) {
	v := w.anyVM()
	v.Signal(syscall.SIGKILL)
	return "kill " + v.Name, nil
}

func pauseVM(w *World) (string, func()) {
	v := w.anyVM()
	v.Signal(syscall.SIGSTOP)
	return "pause " + v.Name, func() { v.Signal(syscall.SIGCONT) }
}

func terminateVM(w *World) (string, func()) {
	v := w.anyVM()
	v.Signal(syscall.SIGTERM)
	return "terminate " + v.Name, nil
}

func killAll(w *World) (string, func()) {
	for _, v := range w.vms {
		v.Signal(syscall.SIGKILL)
	}
	return "kill all VMs", nil
}

func cutStore(w *World) (string, func()) {
	v := w.anyVM()
	mode := []Mode{Slow, SilentThere, SilentBack, Silent, Refuse}[w.random.IntN(5)]
	v.Disturb()
	v.Store.Set(mode)
	return fmt.Sprintf("store of %s: %v", v.Name, mode), func() { v.Store.Set(Pass); v.Disturb() }
}

func (w *World) anyServer() (string, *Link) {
	if i := w.random.IntN(len(w.plain) + len(w.engines)); i >= len(w.plain) {
		return w.engines[i-len(w.plain)].ID, w.engines[i-len(w.plain)].link
	} else {
		return w.plain[i].ID, w.plain[i].link
	}
}

func hurtServer(w *World) (string, func()) {
	id, link := w.anyServer()
	mode := []Mode{Slow, SilentThere, SilentBack, Silent, Refuse}[w.random.IntN(5)]
	link.Set(mode)
	return fmt.Sprintf("server %s: %v", id, mode), func() { link.Set(Pass) }
}

func resetLinks(w *World) (string, func()) {
	id, link := w.anyServer()
	link.Reset()
	return "reset the connections of " + id, nil
}

func plainFault(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	kind := []string{"shed", "reset", "error", "refuse", "extra"}[w.random.IntN(5)]
	p.SetFault(kind)
	return fmt.Sprintf("server %s: %s", p.ID, kind), func() { p.SetFault("") }
}

func breakStream(w *World) (string, func()) {
	e := w.engines[w.random.IntN(len(w.engines))]
	n := 1 + w.random.IntN(events-1)
	e.BreakAfter(n)
	return fmt.Sprintf("engine %s breaks a stream after %d events", e.ID, n), nil
}

// breakAll breaks the next stream of every engine: a stream then breaks more often than
// its route's attempts allow, and must not look whole.
func breakAll(w *World) (string, func()) {
	for _, e := range w.engines {
		e.BreakAfter(1 + w.random.IntN(events/3))
	}
	return "all engines break a stream", nil
}

func loseWrites(w *World) (string, func()) {
	w.store.SetLose(true)
	return "store loses answers to writes", func() { w.store.SetLose(false) }
}

func storeDown(w *World) (string, func()) {
	for _, v := range w.vms {
		v.Disturb()
	}
	w.store.SetDown(true)
	return "store down", func() {
		w.store.SetDown(false)
		for _, v := range w.vms {
			v.Disturb()
		}
	}
}

func forget(w *World) (string, func()) {
	w.store.Forget("keyed.servers")
	w.store.Forget("keyed.op")
	return "store forgets its history", nil
}

func rebalance(w *World) (string, func()) {
	w.store.Rebalance("placement")
	return "leadership goes to another VM", nil
}

// changeConfig puts a version with another key in force; the key before stays valid.
func changeConfig(w *World) (string, func()) {
	w.mu.Lock()
	w.version += 1 + w.random.IntN(3)
	w.keys = append(w.keys, fmt.Sprintf("k%d", w.version))
	if len(w.keys) > 2 {
		w.keys = w.keys[len(w.keys)-2:]
	}
	w.changedAt = time.Now()
	version, data := w.version, w.config()
	w.mu.Unlock()
	w.store.Put("keyed.op", "config", data)
	return fmt.Sprintf("configuration %d", version), nil
}

const drainName = "drain "

// drainPlain announces the end of a plain server and takes it back as a new start.
func drainPlain(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	if !w.checker.drains(p.ID) {
		return "no drain: " + p.ID + " drains already", nil
	}
	w.list(p, "draining")
	return drainName + p.ID, func() {
		w.checker.returns(p.ID)
		w.store.Put("keyed.servers", p.ID, nil)
		p.born = time.Now().UnixMilli()
		w.list(p, "ready")
	}
}
