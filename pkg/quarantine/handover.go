package quarantine

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// handOverVMs is the number of VMs that tell a VM which joined of the suspects.
	handOverVMs = 2
	// handOverRepeats is how often each of them does, handOverInterval apart: the first messages may
	// come before the VM listens.
	handOverRepeats  = 3
	handOverInterval = time.Second
	// maxHandedOver bounds the suspects that are told, the latest ones.
	maxHandedOver = 64
)

// joinedVM is a VM that joined and is still to be told of the suspects.
type joinedVM struct {
	vm   fleet.VMID
	left int
	next time.Time
}

// recordJoined records the VMs that are new in a list of live VMs.
func (t *Tracker) recordJoined(now time.Time, vms []fleet.VMID) {
	t.joined = slices.DeleteFunc(t.joined, func(j *joinedVM) bool { return !slices.Contains(vms, j.vm) })
	for _, vm := range vms {
		if vm != t.self && !slices.Contains(t.vms, vm) {
			t.joined = append(t.joined, &joinedVM{vm: vm, left: handOverRepeats, next: now})
		}
	}
}

// handOver tells the VMs that joined of the suspects. All VMs may be replaced in turn, so that soon
// none is left that has seen the crashes.
func (t *Tracker) handOver(now time.Time, out []Action) []Action {
	for _, j := range t.joined {
		if now.Before(j.next) {
			continue
		}
		j.left--
		j.next = now.Add(handOverInterval)
		others := slices.DeleteFunc(slices.Clone(t.vms), func(vm fleet.VMID) bool { return vm == j.vm })
		if fleet.CountBefore(string(j.vm), t.self, slices.Values(others)) < handOverVMs {
			out = t.reportSuspects(j.vm, out)
		}
	}
	t.joined = slices.DeleteFunc(t.joined, func(j *joinedVM) bool { return j.left == 0 })
	return out
}

// reportSuspects sends the crashes of the latest suspects to a VM.
func (t *Tracker) reportSuspects(to fleet.VMID, out []Action) []Action {
	var ids []CrashID
	present := make(map[CrashID][]Fingerprint)
	for _, s := range t.suspects[max(0, len(t.suspects)-maxHandedOver):] {
		for _, id := range s.crashes {
			if present[id] == nil {
				ids = append(ids, id)
			}
			present[id] = append(present[id], s.print)
		}
	}
	for _, id := range ids {
		out = append(out, Action{Kind: Send, Message: Message{Kind: CrashReport, From: t.self, To: to, Crash: id, Fingerprints: present[id]}})
	}
	return out
}
