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
	loseWrites, storeDown, forget, rebalance, changeConfig, drainPlain, leavePlain, pausePlain, restoreStore,
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

// leavePlain lets a plain server say in its answers that it ends, while its entry stays.
func leavePlain(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	if !w.checker.drains(p.ID) {
		return "no leave: " + p.ID + " drains already", nil
	}
	p.SetLeaving(true)
	return drainName + p.ID + " by its answers only", func() {
		w.checker.returns(p.ID)
		p.SetLeaving(false)
		p.born = time.Now().UnixMilli()
		w.list(p, "ready")
	}
}

// pausePlain lets a plain server refuse all with a pause.
func pausePlain(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	pause := []string{"0.5", "2", "-1", "soon", "Fri, 04 Dec 2026 12:00:00 GMT"}[w.random.IntN(5)]
	p.SetPause(pause)
	p.SetFault("shed")
	return fmt.Sprintf("server %s asks for a pause of %q", p.ID, pause), func() { p.SetFault(""); p.SetPause("") }
}

// restoreStore brings the store back from a copy of this moment. What the operator and the
// servers wrote since is written again a little later.
func restoreStore(w *World) (string, func()) {
	older := w.store.Copy()
	return "the store's content is copied", func() {
		for _, v := range w.vms {
			v.Disturb()
		}
		w.store.Restore(older)
		w.note("the store came back from the copy")
		time.Sleep(rewriteAfter)
		w.rewrite()
		for _, v := range w.vms {
			v.Disturb()
		}
	}
}

// rewriteAfter is the time after which the platform has written again what a copy lacks.
const rewriteAfter = 800 * time.Millisecond

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
		w.list(p, "")
		p.born = time.Now().UnixMilli()
		w.list(p, "ready")
	}
}
