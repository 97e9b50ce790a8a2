package replica_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/confirm"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/lease"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

var historySeed = flag.Int64("history.seed", -1, "run the history check with this seed only")

// historyParams shrink retention and window, so that a run of some virtual
// minutes passes both several times.
var historyParams = replica.Parameters{
	BatchInterval: 5 * time.Millisecond, BatchRecords: 64, Poll: 250 * time.Millisecond,
	Retention: 60 * time.Second, Window: 25 * time.Second,
}

const (
	historyLength  = 150 * time.Second
	historyVMs     = 4
	historyCallers = 6
	callDeadline   = 4 * time.Second
	leasePeriod    = 6 * time.Second
)

// vm is one entry VM of a history. A restarted VM is a new one.
type vm struct {
	name             string
	claims, settings *replica.Runner
	cancel           context.CancelFunc
	mu               sync.Mutex
	dead             bool
	pausedUntil      time.Time
}

func (v *vm) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

// standStill waits while the VM is paused. Each waiter goes on at its own
// instant, so that their order is reproducible.
func (w *world) standStill(v *vm, what ...any) {
	v.mu.Lock()
	until := v.pausedUntil
	v.mu.Unlock()
	if time.Now().Before(until) {
		time.Sleep(time.Until(until) + w.dice.between(0, time.Millisecond, "resume", v.name, what))
	}
}

// world adds the VMs and the recorded operations to a history.
type world struct {
	history
	ctx      context.Context
	vms      [historyVMs]*vm
	done     sync.WaitGroup
	calls    []porcupine.Operation
	changes  []change
	epochs   map[uint64]fleet.VMID
	engine   uint64
	problems []string
	answered int
}

// Inputs and outputs of the confirmation register.
type confirmation struct {
	key, body string
	attempt   int
	effect    bool // the service ran the attempt, instead of a caller's call
}

type confirmed struct {
	answer string
	notRun bool
}

// change is a settings change with its result.
type change struct {
	op    porcupine.Operation
	value string
}

type put struct {
	branch string
	base   uint64
}

type putResult struct {
	version  uint64
	conflict bool
}

func (w *world) now() int64 { return int64(time.Since(w.start)) }

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// startVM starts a VM in a slot and offers it the snapshots of the others.
func (w *world) startVM(slot, incarnation int) {
	ctx, cancel := context.WithCancel(w.ctx)
	v := &vm{name: fmt.Sprintf("vm%d-%d", slot, incarnation), cancel: cancel}
	newRunner := func(stream string) *replica.Runner {
		ids := 0
		r := replica.NewRunner(replica.RunnerConfig{
			Config: replica.Config{
				Seeds: historyVMs - 1, StartFromPeers: true,
				Jitter: w.dice.between(0, 5*time.Second, "jitter", v.name),
				NewID: func() record.ID {
					w.mu.Lock()
					defer w.mu.Unlock()
					ids++
					return record.ID(sha256.New().Sum(fmt.Appendf(nil, "%16d", w.dice.draw(1<<62, stream, v.name, ids)))[:16])
				},
			},
			Log: vmLog{&w.history, v.name}, Stream: stream, VM: fleet.VMID(v.name), Params: historyParams, PendingLimit: 10 * time.Second,
		})
		go r.Run(ctx)
		return r
	}
	v.claims, v.settings = newRunner(infra.ClaimsStream), newRunner(infra.SettingsStream)
	w.mu.Lock()
	w.vms[slot] = v
	peers := w.vms
	w.mu.Unlock()
	for i, peer := range peers {
		if peer == nil || peer == v || peer.isDead() {
			continue
		}
		w.done.Go(func() {
			time.Sleep(w.dice.between(time.Millisecond, 2*time.Second, "offer", v.name, i))
			w.offer(v.claims, peer.claims, peer.name)
			w.offer(v.settings, peer.settings, peer.name)
		})
	}
	w.done.Go(func() { w.lead(ctx, v) })
	w.done.Go(func() { w.watch(ctx, v) })
}

func (w *world) offer(to, from *replica.Runner, name string) {
	if snap, err := from.Snapshot(w.ctx); err == nil {
		to.SnapshotOffered(w.ctx, name, snap)
	}
}

// watch checks that a VM's settings never go back to a lower offset.
func (w *world) watch(ctx context.Context, v *vm) {
	last := uint64(0)
	for ctx.Err() == nil {
		offset := v.settings.View().Offset
		if offset < last {
			w.problem("%s: settings went back from offset %d to %d", v.name, last, offset)
		}
		last = offset
		time.Sleep(w.dice.between(50*time.Millisecond, 150*time.Millisecond, "watch", v.name, w.now()))
	}
}

// lead competes for a lease and gives orders to an engine that enforces fencing.
func (w *world) lead(ctx context.Context, v *vm) {
	var seen lease.Entry
	var at time.Time
	for ctx.Err() == nil {
		time.Sleep(w.dice.between(500*time.Millisecond, time.Second, "lead", v.name, w.now()))
		view := v.settings.View()
		e := view.Leases.Get("placement")
		if e != seen {
			seen, at = e, time.Now()
		}
		move := lease.Next(e, fleet.VMID(v.name), at, time.Now(), leasePeriod)
		if !view.Ready || move != lease.Take && move != lease.Renew {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callDeadline)
		epoch, ok, err := v.settings.TakeLease(call, "placement", e.Epoch)
		cancel()
		if ok && err == nil {
			w.standStill(v, "lead")
			w.order(v, epoch)
		}
	}
}

// order gives an order under an epoch. No two holders may have the same epoch.
func (w *world) order(v *vm, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if other, ok := w.epochs[epoch]; ok && other != fleet.VMID(v.name) {
		w.problems = append(w.problems, fmt.Sprintf("epoch %d was granted to %s and to %s", epoch, other, v.name))
	}
	w.epochs[epoch] = fleet.VMID(v.name)
	w.engine = max(w.engine, epoch)
}

// key returns a version 7 UUID of the current time.
func (w *world) key(n int, caller int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], w.dice.draw(1<<62, "key", caller, n))
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	return id.String()
}

// caller makes confirmations, and sends each again with the same key, through
// other VMs and at times at once or after the window.
func (w *world) caller(n int) {
	for i := 0; time.Since(w.start) < historyLength; i++ {
		time.Sleep(w.dice.between(0, time.Millisecond, "start", n, i))
		key, body := w.key(i, n), fmt.Sprintf("order %d of %d", i, n)
		var resends sync.WaitGroup
		for try := range 1 + int(w.dice.draw(4, "tries", n, i)) {
			sent := body
			if w.dice.draw(10, "other body", n, i, try) == 0 {
				sent = "another body"
			}
			resends.Go(func() { w.confirm(n, key, sent, int(w.dice.draw(historyVMs, "vm", n, i, try))) })
			pause := w.dice.between(time.Millisecond, 2*time.Second, "pause", n, i, try)
			switch w.dice.draw(8, "late", n, i, try) {
			case 0:
				pause *= 15
			case 1, 2, 3:
				pause /= 400 // while the first append is under way
			}
			time.Sleep(pause)
		}
		resends.Wait()
	}
}

// confirm makes one call through the VM in a slot and records it.
func (w *world) confirm(client int, key, body string, slot int) {
	w.mu.Lock()
	v := w.vms[slot]
	w.mu.Unlock()
	if v == nil || v.isDead() || !v.claims.View().Ready {
		return
	}
	id, _ := uuid.Parse(key)
	attempt := w.count("attempt " + key)
	in := confirmation{key: key, body: body, attempt: attempt}
	ctx, cancel := context.WithTimeout(w.ctx, callDeadline)
	defer cancel()
	called := w.now()
	request := replica.ClaimRequest{Team: "t", Route: "r", Key: id.String(), Body: sha256.Sum256([]byte(body))}
	response, err := confirm.Call(ctx, v.claims, request, func(context.Context) (upstream.ServiceResponse, error) {
		return w.service(v, in)
	})
	w.standStill(v, "answer", in)
	if v.isDead() || err != nil && !notSent(err) {
		return // the caller learns nothing
	}
	out := confirmed{notRun: err != nil, answer: string(response.Body)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.answered++
	}
	w.calls = append(w.calls, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: w.now()})
}

// notSent reports whether the error says that this attempt was not sent. While the
// log is away it says so of the attempt, not of earlier calls with the key.
func notSent(err error) bool {
	e := result.From(err)
	return e.Outcome == result.NotRun || e.Code == result.LogUnavailable
}

// service runs the call once it arrives, also when the VM is gone by then.
func (w *world) service(v *vm, in confirmation) (upstream.ServiceResponse, error) {
	w.standStill(v, "send", in)
	if v.isDead() {
		return upstream.ServiceResponse{}, errors.New("this VM has ended")
	}
	refused := w.active(faultService, v.name) && w.dice.draw(4, "refused", in) == 0
	if refused {
		return upstream.ServiceResponse{}, &upstream.Error{Err: errors.New("connection refused")}
	}
	called := w.now()
	time.Sleep(w.dice.between(5*time.Millisecond, 200*time.Millisecond, "service", in))
	effect := in
	effect.effect = true
	w.mu.Lock()
	w.calls = append(w.calls, porcupine.Operation{Input: effect, Call: called, Return: w.now()})
	w.mu.Unlock()
	time.Sleep(w.dice.between(5*time.Millisecond, 200*time.Millisecond, "response", in))
	if w.active(faultService, v.name) && w.dice.draw(4, "lost", in) == 0 {
		return upstream.ServiceResponse{}, &upstream.Error{Sent: true, Err: errors.New("connection broke")}
	}
	return upstream.ServiceResponse{Status: 200, Body: []byte("done: " + in.key + in.body)}, nil
}

// operator changes branches through any VM, at times from an old version.
func (w *world) operator(n int) {
	for i := 0; time.Since(w.start) < historyLength; i++ {
		time.Sleep(w.dice.between(100*time.Millisecond, 3*time.Second, "operator", n, i))
		w.mu.Lock()
		v := w.vms[w.dice.draw(historyVMs, "operator's vm", n, i)]
		w.mu.Unlock()
		if v == nil || v.isDead() || !v.settings.View().Ready {
			continue
		}
		branch := fmt.Sprintf("team/t%d", w.dice.draw(2, "branch", n, i))
		value := fmt.Sprintf(`{"weight":%d.%d}`, n+1, i+1)
		base := v.settings.View().Tree.Version(branch)
		ctx, cancel := context.WithTimeout(w.ctx, callDeadline)
		c := change{value: value, op: porcupine.Operation{ClientId: n, Input: put{branch, base}, Call: w.now()}}
		version, err := v.settings.ProposeSettings(ctx, record.Settings{Branch: branch, Base: base, Value: []byte(value)})
		cancel()
		w.standStill(v, "operator", n, i)
		c.op.Return = w.now()
		code := result.Code(0)
		if err != nil {
			code = result.From(err).Code
		}
		c.op.Output = putResult{version: version, conflict: code == result.SettingsConflict}
		if v.isDead() || code == result.SettingsPending {
			c.op.Output = nil
		}
		if code != result.LogUnavailable || c.op.Output == nil {
			w.mu.Lock()
			w.changes = append(w.changes, c)
			w.mu.Unlock()
		}
	}
}

// schedule draws the windows of the seed's faults: each fault alone, then pairs
// of them, each at two times.
func (w *world) schedule(seed int64) []fault {
	n := int64(len(allFaults))
	faults := []fault{allFaults[seed%n]}
	if seed >= n {
		faults = append(faults, allFaults[(seed%n+1+(seed/n-1)%(n-1))%n])
	}
	for i, f := range faults {
		for k := range 2 {
			from := w.start.Add(w.dice.between(time.Duration(10+60*k)*time.Second, time.Duration(40+60*k)*time.Second, "from", i, k))
			to := from.Add(w.dice.between(3*time.Second, 25*time.Second, "to", i, k))
			win := window{fault: f, from: from, to: to}
			if f == faultApart {
				win.vm = fmt.Sprintf("vm%d-1", w.dice.draw(historyVMs, "apart", i, k))
			}
			w.windows = append(w.windows, win)
		}
	}
	return faults
}

// disturb carries out the faults that happen to VMs.
func (w *world) disturb(win window, n int) {
	time.Sleep(time.Until(win.from))
	slot := int(w.dice.draw(historyVMs, "victim", n))
	w.mu.Lock()
	v := w.vms[slot]
	w.mu.Unlock()
	length := win.to.Sub(win.from)
	switch win.fault {
	case faultPause:
		v.mu.Lock()
		v.pausedUntil = win.to
		v.mu.Unlock()
		w.done.Go(func() { v.claims.Pause(w.ctx, length) })
		w.done.Go(func() { v.settings.Pause(w.ctx, length) })
	case faultCrash, faultBehind:
		time.Sleep(length / 3)
		v.mu.Lock()
		v.dead = true
		v.mu.Unlock()
		v.cancel()
		time.Sleep(length / 3)
		w.startVM(slot, n+2)
	}
}

// runHistory runs one seed and returns the faults and a digest of all operations.
func runHistory(t *testing.T, seed int64) (w *world, faults []fault, digest string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w = &world{ctx: ctx, epochs: map[uint64]fleet.VMID{}}
		w.history = history{dice: dice(seed), start: time.Now(), streams: map[string][]infra.Record{}, first: map[string]uint64{}, calls: map[string]int{}}
		faults = w.schedule(seed)
		for slot := range historyVMs {
			w.startVM(slot, 1)
		}
		var load sync.WaitGroup
		for n := range historyCallers {
			load.Go(func() { w.caller(n) })
		}
		for n := range 3 {
			load.Go(func() { w.operator(n) })
		}
		for n, win := range w.windows {
			load.Go(func() { w.disturb(win, n) })
		}
		load.Wait()
		w.converge()
		cancel()
		w.done.Wait()
		time.Sleep(time.Minute) // calls to the log under way return
	})
	lines := []string{}
	for _, op := range w.calls {
		lines = append(lines, fmt.Sprint(op))
	}
	for _, c := range w.changes {
		lines = append(lines, fmt.Sprint(c))
	}
	slices.Sort(lines)
	sum := sha256.Sum256(fmt.Append(nil, lines))
	return w, faults, hex.EncodeToString(sum[:8])
}

// converge waits for the end of all faults and checks that all VMs agree.
func (w *world) converge() {
	time.Sleep(40 * time.Second)
	want := w.vms[0].settings.View()
	for _, v := range w.vms {
		got := v.settings.View()
		if !got.Ready || fmt.Sprint(got.Tree.Save()) != fmt.Sprint(want.Tree.Save()) {
			w.problems = append(w.problems, fmt.Sprintf("%s ended at settings offset %d, ready %t, %s at %d", v.name, got.Offset, got.Ready, w.vms[0].name, want.Offset))
		}
	}
}

// confirmationModel is the register of one key: it runs at most once, an answer
// is that of the run with the same body, and an attempt told "not run" never runs.
var confirmationModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(op porcupine.Operation) string { return op.Input.(confirmation).key })
	},
	Init: func() any { return confirmationState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(confirmationState), input.(confirmation)
		bit := uint64(1) << in.attempt
		if in.effect {
			ok := s.ran == 0 && s.notRun&bit == 0
			s.ran, s.body = in.attempt, in.body
			return ok, s
		}
		out := output.(confirmed)
		if out.notRun {
			s.notRun |= bit
			return s.ran != in.attempt, s
		}
		return s.ran != 0 && s.body == in.body && out.answer == "done: "+in.key+in.body, s
	},
}

type confirmationState struct {
	ran    int // the attempt that ran, 0 for none
	body   string
	notRun uint64 // the attempts that were told so
}

// settingsModel is a branch as a versioned register.
var settingsModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(op porcupine.Operation) string { return op.Input.(put).branch })
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(put), output.(putResult)
		if out.conflict {
			return in.base != current, current
		}
		return in.base == current && out.version > current, out.version
	},
}

func partition(ops []porcupine.Operation, name func(porcupine.Operation) string) [][]porcupine.Operation {
	index := map[string]int{}
	var parts [][]porcupine.Operation
	for _, op := range ops {
		i, ok := index[name(op)]
		if !ok {
			i = len(parts)
			index[name(op)] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// settled returns the changes as operations. One with an unknown result counts
// with the offset at which the log holds it as valid, at any time after its
// call, and is left out when the log holds no such record.
func (w *world) settled() []porcupine.Operation {
	valid := map[string]uint64{}
	r := replica.New(replica.Config{}, historyParams)
	all := w.streams[infra.SettingsStream]
	r.Tick(w.start)
	for _, a := range r.ReadDone(infra.Batch{Records: all, First: 1, Next: uint64(len(all)) + 1}, nil, w.start) {
		if s, ok := a.(replica.SettingsAction); ok && s.Verdict.Valid() {
			valid[string(s.Change.Value)] = s.Verdict.Offset
		}
	}
	var ops []porcupine.Operation
	for _, c := range w.changes {
		if c.op.Output == nil {
			version, ok := valid[c.value]
			if !ok {
				continue
			}
			c.op.Output, c.op.Return = putResult{version: version}, int64(time.Hour)
		}
		ops = append(ops, c.op)
	}
	return ops
}

// TestHistory guards against a call that runs twice, a false "not run", another
// request's answer, a lost or reverted settings change, and two holders of one
// epoch, under each fault alone and in pairs, each at two times.
func TestHistory(t *testing.T) {
	seeds := []int64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 13, 21, 26, 32, 45, 57, 68, 74, 99}
	if *historySeed >= 0 {
		seeds = []int64{*historySeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			w, faults, digest := runHistory(t, seed)
			t.Logf("faults %v: %d calls and effects, %d answered, %d changes, %d epochs, digest %s",
				faults, len(w.calls), w.answered, len(w.changes), len(w.epochs), digest)
			problems := w.problems
			if !porcupine.CheckOperations(confirmationModel, w.calls) {
				problems = append(problems, "the confirmations fit no order of a register")
			}
			if !porcupine.CheckOperations(settingsModel, w.settled()) {
				problems = append(problems, "the settings changes fit no order of a versioned register")
			}
			if w.answered == 0 || len(w.changes) == 0 || len(w.epochs) == 0 {
				problems = append(problems, "nothing was answered, changed or leased")
			}
			for _, p := range problems {
				t.Error(p)
			}
			if t.Failed() {
				t.Logf("to reproduce: make history SEED=%d", seed)
			}
		})
	}
}
