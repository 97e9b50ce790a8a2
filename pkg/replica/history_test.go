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

// historyParams has a short retention period and window, so that a run of a few virtual
// minutes exceeds both several times.
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

// vm is one entry VM of a history. A restart creates a new vm.
type vm struct {
	name             string
	claims, settings *replica.Runner
	cancel           context.CancelFunc
	mu               sync.Mutex
	crashed          bool
	pausedUntil      time.Time
}

func (v *vm) hasCrashed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashed
}

// waitWhilePaused blocks while the VM is paused. Each waiter resumes at a different
// time, so that their order is reproducible.
func (s *simulation) waitWhilePaused(v *vm, what ...any) {
	v.mu.Lock()
	until := v.pausedUntil
	v.mu.Unlock()
	if time.Now().Before(until) {
		time.Sleep(time.Until(until) + s.rand.between(0, time.Millisecond, "resume", v.name, what))
	}
}

// simulation is one run: the log with its faults, the VMs and the recorded operations.
type simulation struct {
	faultyLog
	ctx         context.Context
	vms         [historyVMs]*vm
	background  sync.WaitGroup
	confirmOps  []porcupine.Operation
	changes     []change
	epochs      map[uint64]fleet.VMID
	engineEpoch uint64
	problems    []string
	answered    int
}

// confirmation is an input of confirmationModel.
type confirmation struct {
	key, body string
	attempt   int
	effect    bool // the service's execution of the attempt, rather than the caller's call
}

// confirmationResult is an output of confirmationModel.
type confirmationResult struct {
	answer string
	notRun bool
}

// change is a settings change with its result. The output is nil if the result is unknown.
type change struct {
	op    porcupine.Operation
	value string
}

// branchUpdate is an input of settingsModel.
type branchUpdate struct {
	branch string
	base   uint64
}

// branchUpdateResult is an output of settingsModel.
type branchUpdateResult struct {
	version  uint64
	conflict bool
}

func (s *simulation) now() int64 { return int64(time.Since(s.start)) }

func (s *simulation) addProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// startVM starts a VM in a slot and sends it the snapshots of the other VMs.
func (s *simulation) startVM(slot, incarnation int) {
	ctx, cancel := context.WithCancel(s.ctx)
	v := &vm{name: fmt.Sprintf("vm%d-%d", slot, incarnation), cancel: cancel}
	newRunner := func(stream string) *replica.Runner {
		ids := 0
		r := replica.NewRunner(replica.RunnerConfig{
			Config: replica.Config{
				SeedPeers: historyVMs - 1, StartFromPeers: true,
				SnapshotJitter: s.rand.between(0, 5*time.Second, "jitter", v.name),
				NewID: func() record.ID {
					s.mu.Lock()
					defer s.mu.Unlock()
					ids++
					return record.ID(sha256.New().Sum(fmt.Appendf(nil, "%16d", s.rand.draw(1<<62, stream, v.name, ids)))[:16])
				},
			},
			Log: vmLog{&s.faultyLog, v.name}, Stream: stream, VM: fleet.VMID(v.name), Params: historyParams, PendingLimit: 10 * time.Second,
		})
		go r.Run(ctx)
		return r
	}
	v.claims, v.settings = newRunner(infra.ClaimsStream), newRunner(infra.SettingsStream)
	s.mu.Lock()
	s.vms[slot] = v
	peers := s.vms
	s.mu.Unlock()
	for i, peer := range peers {
		if peer == nil || peer == v || peer.hasCrashed() {
			continue
		}
		s.background.Go(func() {
			time.Sleep(s.rand.between(time.Millisecond, 2*time.Second, "offer", v.name, i))
			s.offer(v.claims, peer.claims, peer.name)
			s.offer(v.settings, peer.settings, peer.name)
		})
	}
	s.background.Go(func() { s.competeForLease(ctx, v) })
	s.background.Go(func() { s.checkMonotonic(ctx, v) })
}

func (s *simulation) offer(to, from *replica.Runner, name string) {
	if snap, err := from.Snapshot(s.ctx); err == nil {
		to.SnapshotReceived(s.ctx, name, snap)
	}
}

// checkMonotonic checks that a VM's settings never go back to a lower offset.
func (s *simulation) checkMonotonic(ctx context.Context, v *vm) {
	last := uint64(0)
	for ctx.Err() == nil {
		offset := v.settings.View().Offset
		if offset < last {
			s.addProblem("%s: settings went back from offset %d to %d", v.name, last, offset)
		}
		last = offset
		time.Sleep(s.rand.between(50*time.Millisecond, 150*time.Millisecond, "watch", v.name, s.now()))
	}
}

// competeForLease acquires or renews a lease whenever it can, and each time sends an
// order to an engine that enforces fencing.
func (s *simulation) competeForLease(ctx context.Context, v *vm) {
	var lastEntry lease.Entry
	var lastEntryAt time.Time
	for ctx.Err() == nil {
		time.Sleep(s.rand.between(500*time.Millisecond, time.Second, "lead", v.name, s.now()))
		view := v.settings.View()
		e := view.Leases.Get("placement")
		if e != lastEntry {
			lastEntry, lastEntryAt = e, time.Now()
		}
		action := lease.Next(e, fleet.VMID(v.name), lastEntryAt, time.Now(), leasePeriod)
		if !view.Ready || action != lease.Acquire && action != lease.Renew {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callDeadline)
		epoch, ok, err := v.settings.AcquireLease(call, "placement", e.Epoch)
		cancel()
		if ok && err == nil {
			s.waitWhilePaused(v, "lead")
			s.sendOrder(v, epoch)
		}
	}
}

// sendOrder sends an order with an epoch to the engine and checks that no two holders
// have the same epoch.
func (s *simulation) sendOrder(v *vm, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.epochs[epoch]; ok && other != fleet.VMID(v.name) {
		s.problems = append(s.problems, fmt.Sprintf("epoch %d was granted to %s and to %s", epoch, other, v.name))
	}
	s.epochs[epoch] = fleet.VMID(v.name)
	s.engineEpoch = max(s.engineEpoch, epoch)
}

// key returns a version 7 UUID with the current time.
func (s *simulation) key(n int, caller int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], s.rand.draw(1<<62, "key", caller, n))
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	return id.String()
}

// runCaller makes confirmations and repeats some of them with the same key through
// random VMs. A repetition may come while the first append is in flight or after the
// window has passed.
func (s *simulation) runCaller(n int) {
	for i := 0; time.Since(s.start) < historyLength; i++ {
		time.Sleep(s.rand.between(0, time.Millisecond, "start", n, i))
		key, body := s.key(i, n), fmt.Sprintf("order %d of %d", i, n)
		var resends sync.WaitGroup
		for try := range 1 + int(s.rand.draw(4, "tries", n, i)) {
			sent := body
			if s.rand.draw(10, "other body", n, i, try) == 0 {
				sent = "another body"
			}
			resends.Go(func() { s.confirm(n, key, sent, int(s.rand.draw(historyVMs, "vm", n, i, try))) })
			pause := s.rand.between(time.Millisecond, 2*time.Second, "pause", n, i, try)
			switch s.rand.draw(8, "late", n, i, try) {
			case 0:
				pause *= 15
			case 1, 2, 3:
				pause /= 400 // while the first append is in flight
			}
			time.Sleep(pause)
		}
		resends.Wait()
	}
}

// confirm makes one call through the VM in a slot and records the operation.
func (s *simulation) confirm(client int, key, body string, slot int) {
	s.mu.Lock()
	v := s.vms[slot]
	s.mu.Unlock()
	if v == nil || v.hasCrashed() || !v.claims.View().Ready {
		return
	}
	id, _ := uuid.Parse(key)
	attempt := s.count("attempt " + key)
	in := confirmation{key: key, body: body, attempt: attempt}
	ctx, cancel := context.WithTimeout(s.ctx, callDeadline)
	defer cancel()
	called := s.now()
	request := replica.ClaimRequest{Team: "t", Route: "r", Key: id.String(), BodyHash: sha256.Sum256([]byte(body))}
	response, err := confirm.Call(ctx, v.claims, request, func(context.Context) (upstream.ServiceResponse, error) {
		return s.service(v, in)
	})
	s.waitWhilePaused(v, "answer", in)
	if v.hasCrashed() || err != nil && !notSent(err) {
		return // the result stays unknown to the caller
	}
	out := confirmationResult{notRun: err != nil, answer: string(response.Body)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.answered++
	}
	s.confirmOps = append(s.confirmOps, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: s.now()})
}

// notSent reports whether the error means that this attempt was not sent. While the
// log is unavailable, the error says nothing about earlier calls with the key.
func notSent(err error) bool {
	e := result.From(err)
	return e.Outcome == result.NotRun || e.Code == result.LogUnavailable
}

// service sends a call to the service unless the VM has crashed. A call that was sent
// is executed even if the VM crashes before it arrives.
func (s *simulation) service(v *vm, in confirmation) (upstream.ServiceResponse, error) {
	s.waitWhilePaused(v, "send", in)
	if v.hasCrashed() {
		return upstream.ServiceResponse{}, errors.New("VM has crashed")
	}
	refused := s.active(faultService, v.name) && s.rand.draw(4, "refused", in) == 0
	if refused {
		return upstream.ServiceResponse{}, &upstream.Error{Err: errors.New("connection refused")}
	}
	called := s.now()
	time.Sleep(s.rand.between(5*time.Millisecond, 200*time.Millisecond, "service", in))
	effect := in
	effect.effect = true
	s.mu.Lock()
	s.confirmOps = append(s.confirmOps, porcupine.Operation{Input: effect, Call: called, Return: s.now()})
	s.mu.Unlock()
	time.Sleep(s.rand.between(5*time.Millisecond, 200*time.Millisecond, "response", in))
	if s.active(faultService, v.name) && s.rand.draw(4, "lost", in) == 0 {
		return upstream.ServiceResponse{}, &upstream.Error{Sent: true, Err: errors.New("connection reset")}
	}
	return upstream.ServiceResponse{Status: 200, Body: []byte("done: " + in.key + in.body)}, nil
}

// runOperator changes branches through random VMs, sometimes based on an outdated
// version.
func (s *simulation) runOperator(n int) {
	for i := 0; time.Since(s.start) < historyLength; i++ {
		time.Sleep(s.rand.between(100*time.Millisecond, 3*time.Second, "operator", n, i))
		s.mu.Lock()
		v := s.vms[s.rand.draw(historyVMs, "operator's vm", n, i)]
		s.mu.Unlock()
		if v == nil || v.hasCrashed() || !v.settings.View().Ready {
			continue
		}
		branch := fmt.Sprintf("team/t%d", s.rand.draw(2, "branch", n, i))
		value := fmt.Sprintf(`{"weight":%d.%d}`, n+1, i+1)
		base := v.settings.View().Tree.Version(branch)
		ctx, cancel := context.WithTimeout(s.ctx, callDeadline)
		c := change{value: value, op: porcupine.Operation{ClientId: n, Input: branchUpdate{branch, base}, Call: s.now()}}
		version, err := v.settings.ProposeSettings(ctx, record.Settings{Branch: branch, Base: base, Value: []byte(value)})
		cancel()
		s.waitWhilePaused(v, "operator", n, i)
		c.op.Return = s.now()
		code := result.Code(0)
		if err != nil {
			code = result.From(err).Code
		}
		c.op.Output = branchUpdateResult{version: version, conflict: code == result.SettingsConflict}
		if v.hasCrashed() || code == result.SettingsOutcomeUnknown {
			c.op.Output = nil
		}
		if code != result.LogUnavailable || c.op.Output == nil {
			s.mu.Lock()
			s.changes = append(s.changes, c)
			s.mu.Unlock()
		}
	}
}

// scheduleFaults selects the faults for the seed and draws two time windows for each.
// The lowest seeds select one fault each, the others a pair of faults.
func (s *simulation) scheduleFaults(seed int64) []fault {
	n := int64(len(allFaults))
	faults := []fault{allFaults[seed%n]}
	if seed >= n {
		faults = append(faults, allFaults[(seed%n+1+(seed/n-1)%(n-1))%n])
	}
	for i, f := range faults {
		for k := range 2 {
			from := s.start.Add(s.rand.between(time.Duration(10+60*k)*time.Second, time.Duration(40+60*k)*time.Second, "from", i, k))
			to := from.Add(s.rand.between(3*time.Second, 25*time.Second, "to", i, k))
			win := faultWindow{fault: f, from: from, to: to}
			if f == faultPartition {
				win.vm = fmt.Sprintf("vm%d-1", s.rand.draw(historyVMs, "apart", i, k))
			}
			s.windows = append(s.windows, win)
		}
	}
	return faults
}

// injectVMFault pauses or restarts a VM if that is the fault of the window. It does
// nothing for other faults, which the log and the service inject.
func (s *simulation) injectVMFault(win faultWindow, n int) {
	time.Sleep(time.Until(win.from))
	slot := int(s.rand.draw(historyVMs, "victim", n))
	s.mu.Lock()
	v := s.vms[slot]
	s.mu.Unlock()
	length := win.to.Sub(win.from)
	switch win.fault {
	case faultPause:
		v.mu.Lock()
		v.pausedUntil = win.to
		v.mu.Unlock()
		s.background.Go(func() { v.claims.Pause(s.ctx, length) })
		s.background.Go(func() { v.settings.Pause(s.ctx, length) })
	case faultCrash, faultBehind:
		time.Sleep(length / 3)
		v.mu.Lock()
		v.crashed = true
		v.mu.Unlock()
		v.cancel()
		time.Sleep(length / 3)
		s.startVM(slot, n+2)
	}
}

// runHistory runs the simulation for one seed. It also returns the faults and a digest
// of all operations.
func runHistory(t *testing.T, seed int64) (s *simulation, faults []fault, digest string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s = &simulation{ctx: ctx, epochs: map[uint64]fleet.VMID{}}
		s.faultyLog = faultyLog{rand: seededRand(seed), start: time.Now(), streams: map[string][]infra.Record{}, first: map[string]uint64{}, callCounts: map[string]int{}}
		faults = s.scheduleFaults(seed)
		for slot := range historyVMs {
			s.startVM(slot, 1)
		}
		var load sync.WaitGroup
		for n := range historyCallers {
			load.Go(func() { s.runCaller(n) })
		}
		for n := range 3 {
			load.Go(func() { s.runOperator(n) })
		}
		for n, win := range s.windows {
			load.Go(func() { s.injectVMFault(win, n) })
		}
		load.Wait()
		s.checkConvergence()
		cancel()
		s.background.Wait()
		time.Sleep(time.Minute) // lets calls to the log in flight return
	})
	lines := []string{}
	for _, op := range s.confirmOps {
		lines = append(lines, fmt.Sprint(op))
	}
	for _, c := range s.changes {
		lines = append(lines, fmt.Sprint(c))
	}
	slices.Sort(lines)
	sum := sha256.Sum256(fmt.Append(nil, lines))
	return s, faults, hex.EncodeToString(sum[:8])
}

// checkConvergence waits until all faults have ended and checks that all VMs have the
// same settings.
func (s *simulation) checkConvergence() {
	time.Sleep(40 * time.Second)
	want := s.vms[0].settings.View()
	for _, v := range s.vms {
		got := v.settings.View()
		if !got.Ready || fmt.Sprint(got.Tree.Save()) != fmt.Sprint(want.Tree.Save()) {
			s.problems = append(s.problems, fmt.Sprintf("%s ended at settings offset %d with ready %t, %s at offset %d: want equal settings and all VMs ready", v.name, got.Offset, got.Ready, s.vms[0].name, want.Offset))
		}
	}
}

// confirmationModel models the calls with one key. The service executes at most one of
// them, a response comes from an execution with the same body, and an attempt that was
// reported as "not run" is never executed.
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
		out := output.(confirmationResult)
		if out.notRun {
			s.notRun |= bit
			return s.ran != in.attempt, s
		}
		return s.ran != 0 && s.body == in.body && out.answer == "done: "+in.key+in.body, s
	},
}

type confirmationState struct {
	ran    int // the attempt that was executed, 0 for none
	body   string
	notRun uint64 // bit set of the attempts that were reported as not run
}

// settingsModel models a branch as a versioned register.
var settingsModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		return partition(ops, func(op porcupine.Operation) string { return op.Input.(branchUpdate).branch })
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(branchUpdate), output.(branchUpdateResult)
		if out.conflict {
			return in.base != current, current
		}
		return in.base == current && out.version > current, out.version
	},
}

// partition groups operations by name.
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

// resolvedChanges returns the changes as operations. If the result of a change is
// unknown and the log holds a valid record of it, the result is the record's offset, and
// the operation may have happened at any time after the call. Without such a record, the
// change is omitted.
func (s *simulation) resolvedChanges() []porcupine.Operation {
	valid := map[string]uint64{}
	r := replica.New(replica.Config{}, historyParams)
	all := s.streams[infra.SettingsStream]
	r.Tick(s.start)
	for _, a := range r.ReadDone(infra.Batch{Records: all, First: 1, Next: uint64(len(all)) + 1}, nil, s.start) {
		if s, ok := a.(replica.SettingsAction); ok && s.Verdict.Valid() {
			valid[string(s.Change.Value)] = s.Verdict.Offset
		}
	}
	var ops []porcupine.Operation
	for _, c := range s.changes {
		if c.op.Output == nil {
			version, ok := valid[c.value]
			if !ok {
				continue
			}
			c.op.Output, c.op.Return = branchUpdateResult{version: version}, int64(time.Hour)
		}
		ops = append(ops, c.op)
	}
	return ops
}

// TestHistory guards against a call that runs twice, a wrong "not run" result, the
// response of another request, a lost or reverted settings change, and two holders of
// one epoch. Its seeds select single faults and pairs of faults, each active in two time
// windows.
func TestHistory(t *testing.T) {
	seeds := []int64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 13, 21, 26, 32, 45, 57, 68, 74, 99}
	if *historySeed >= 0 {
		seeds = []int64{*historySeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s, faults, digest := runHistory(t, seed)
			t.Logf("faults %v: %d calls and effects, %d answered, %d changes, %d epochs, digest %s",
				faults, len(s.confirmOps), s.answered, len(s.changes), len(s.epochs), digest)
			problems := s.problems
			if !porcupine.CheckOperations(confirmationModel, s.confirmOps) {
				problems = append(problems, "the confirmations are not linearizable")
			}
			if !porcupine.CheckOperations(settingsModel, s.resolvedChanges()) {
				problems = append(problems, "the settings changes are not linearizable")
			}
			if s.answered == 0 || len(s.changes) == 0 || len(s.epochs) == 0 {
				problems = append(problems, "no call was answered, no settings were changed or no lease was granted")
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
