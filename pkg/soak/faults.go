package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fault starts a fault. It returns the line for the history and a function that ends the
// fault, or nil if it needs no end.
type fault func(w *World) (name string, end func())

// faults are drawn with equal probability; an entry that is listed twice is twice as
// likely. Several faults may be active at once, also of the same kind.
var faults = []fault{
	killVM, pauseVM, terminateVM, killAllVMs, degradeStoreLink, degradeStoreLink, degradeServerLink, degradeServerLink, resetLinks, setServerFault, breakStream, breakAllStreams,
	loseWriteAnswers, stopStore, forgetHistory, moveLeadership, changeConfig, drainPlainServer, announceLeaving, requestPause, restoreStore,
	sendCrashingPart, sendCrashingPart,
}

// injectFaults injects faults until the calm period at the end of the run begins and all
// faults have ended.
func (w *World) injectFaults(ctx context.Context) {
	w.sleep(ctx, startupTime)
	end := w.startedAt.Add(w.options.Length - calmTime)
	// Some runs leave gaps of several seconds between faults, because several guarantees
	// hold only for VMs that have not been disturbed for a while.
	gapFactor := time.Duration(1 + w.random.IntN(4))
	var active sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		drawn := faults[w.random.IntN(len(faults))]
		if w.options.OnlyCrashingPart {
			drawn = sendCrashingPart
		}
		name, endFault := drawn(w)
		duration := time.Duration(500+w.random.IntN(3500)) * time.Millisecond
		gap := gapFactor * time.Duration(200+w.random.IntN(1500)) * time.Millisecond
		if strings.HasPrefix(name, drainPrefix) {
			duration += drainLimit // the server may still receive requests for this long
		}
		if strings.HasPrefix(name, crashingPrefix) {
			duration += crashingTime
		}
		w.record("%s", name)
		if endFault != nil {
			active.Go(func() {
				w.sleep(ctx, min(duration, time.Until(end)))
				endFault()
				w.record("over: %s", name)
			})
		}
		if w.options.OnlyCrashingPart {
			break
		}
		w.sleep(ctx, gap)
	}
	active.Wait()
}

func (w *World) randomVM() *VM { return w.vms[w.random.IntN(len(w.vms))] }

func killVM(w *World) (string, func()) {
	v := w.randomVM()
	v.Signal(syscall.SIGKILL)
	return "kill " + v.Name, nil
}

func pauseVM(w *World) (string, func()) {
	v := w.randomVM()
	v.Signal(syscall.SIGSTOP)
	return "pause " + v.Name, func() { v.Signal(syscall.SIGCONT) }
}

func terminateVM(w *World) (string, func()) {
	v := w.randomVM()
	v.Signal(syscall.SIGTERM)
	return "terminate " + v.Name, nil
}

func killAllVMs(w *World) (string, func()) {
	for _, v := range w.vms {
		v.Signal(syscall.SIGKILL)
	}
	return "kill all VMs", nil
}

func degradeStoreLink(w *World) (string, func()) {
	v := w.randomVM()
	mode := []Mode{Slow, SilentToServer, SilentFromServer, Silent, Refuse}[w.random.IntN(5)]
	v.MarkDisturbed()
	v.Store.SetMode(mode)
	return fmt.Sprintf("store of %s: %v", v.Name, mode), func() { v.Store.SetMode(Pass); v.MarkDisturbed() }
}

func (w *World) randomServer() (string, *Link) {
	if i := w.random.IntN(len(w.plain) + len(w.engines)); i >= len(w.plain) {
		return w.engines[i-len(w.plain)].ID, w.engines[i-len(w.plain)].link
	} else {
		return w.plain[i].ID, w.plain[i].link
	}
}

func degradeServerLink(w *World) (string, func()) {
	id, link := w.randomServer()
	mode := []Mode{Slow, SilentToServer, SilentFromServer, Silent, Refuse}[w.random.IntN(5)]
	link.SetMode(mode)
	return fmt.Sprintf("server %s: %v", id, mode), func() { link.SetMode(Pass) }
}

func resetLinks(w *World) (string, func()) {
	id, link := w.randomServer()
	link.Reset()
	return "reset the connections of " + id, nil
}

func setServerFault(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	kind := []string{"shed", "reset", "error", "refuse", "extra"}[w.random.IntN(5)]
	p.SetFault(kind)
	return fmt.Sprintf("server %s: %s", p.ID, kind), func() { p.SetFault("") }
}

func breakStream(w *World) (string, func()) {
	e := w.engines[w.random.IntN(len(w.engines))]
	n := 1 + w.random.IntN(eventsPerStream-1)
	e.BreakNextStream(n)
	return fmt.Sprintf("engine %s breaks a stream after %d events", e.ID, n), nil
}

// breakAllStreams breaks the next stream of every engine. A stream can then break more
// often than its route allows attempts, and must not look complete.
func breakAllStreams(w *World) (string, func()) {
	for _, e := range w.engines {
		e.BreakNextStream(1 + w.random.IntN(eventsPerStream/3))
	}
	return "all engines break a stream", nil
}

func loseWriteAnswers(w *World) (string, func()) {
	w.store.SetLoseAnswers(true)
	return "store loses answers to writes", func() { w.store.SetLoseAnswers(false) }
}

func stopStore(w *World) (string, func()) {
	for _, v := range w.vms {
		v.MarkDisturbed()
	}
	w.store.SetDown(true)
	return "store down", func() {
		w.store.SetDown(false)
		for _, v := range w.vms {
			v.MarkDisturbed()
		}
	}
}

func forgetHistory(w *World) (string, func()) {
	w.store.DropHistory("keyed.servers")
	w.store.DropHistory("keyed.op")
	return "store forgets its history", nil
}

func moveLeadership(w *World) (string, func()) {
	w.store.Rebalance("placement")
	return "leadership goes to another VM", nil
}

// changeConfig publishes a new configuration version with an additional key. The previous
// key stays valid, older ones do not.
func changeConfig(w *World) (string, func()) {
	w.mu.Lock()
	w.version += 1 + w.random.IntN(3)
	w.keys = append(w.keys, fmt.Sprintf("k%d", w.version))
	if len(w.keys) > 2 {
		w.keys = w.keys[len(w.keys)-2:]
	}
	w.configChangedAt = time.Now()
	version, data := w.version, w.config()
	w.mu.Unlock()
	w.store.Put("keyed.op", "config", data)
	return fmt.Sprintf("configuration %d", version), nil
}

// announceLeaving makes a plain server announce its shutdown only in its answers, while
// its entry stays ready. Ending the fault starts a new incarnation.
func announceLeaving(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	if !w.checker.startDrain(p.ID) {
		return "no leave: " + p.ID + " drains already", nil
	}
	p.SetLeaving(true)
	return drainPrefix + p.ID + " by its answers only", func() {
		w.checker.endDrain(p.ID)
		p.SetLeaving(false)
		p.startedMillis = time.Now().UnixMilli()
		w.setEntryState(p, "ready")
	}
}

// requestPause makes a plain server refuse all requests and ask for a pause, with valid and
// malformed values.
func requestPause(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	pause := []string{"0.5", "2", "-1", "soon", "Fri, 04 Dec 2026 12:00:00 GMT"}[w.random.IntN(5)]
	p.SetPause(pause)
	p.SetFault("shed")
	return fmt.Sprintf("server %s asks for a pause of %q", p.ID, pause), func() { p.SetFault(""); p.SetPause("") }
}

// restoreStore copies the store and later restores it from the copy. The operator and the
// servers write their current values again after rewriteDelay.
func restoreStore(w *World) (string, func()) {
	storeCopy := w.store.Snapshot()
	return "the store's content is copied", func() {
		for _, v := range w.vms {
			v.MarkDisturbed()
		}
		w.store.Restore(storeCopy)
		w.record("the store came back from the copy")
		time.Sleep(rewriteDelay)
		w.rewriteAll()
		for _, v := range w.vms {
			v.MarkDisturbed()
		}
	}
}

// rewriteDelay is the time between a restore of the store and the platform's writing again
// what the copy lacks.
const rewriteDelay = 800 * time.Millisecond

// drainPrefix starts the names of faults that drain a server.
const drainPrefix = "drain "

// drainPlainServer sets a plain server's entry to draining. Ending the fault removes the
// entry and adds the server again as a new incarnation.
func drainPlainServer(w *World) (string, func()) {
	p := w.plain[w.random.IntN(len(w.plain))]
	if !w.checker.startDrain(p.ID) {
		return "no drain: " + p.ID + " drains already", nil
	}
	w.setEntryState(p, "draining")
	return drainPrefix + p.ID, func() {
		w.checker.endDrain(p.ID)
		w.setEntryState(p, "")
		p.startedMillis = time.Now().UnixMilli()
		w.setEntryState(p, "ready")
	}
}
