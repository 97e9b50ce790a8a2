// Package peering defines the messages that entry VMs exchange about their reservations
// at upstreams, the configuration in force, the list of upstreams and the health of
// upstreams. It also defines how often they send their state.
package peering

import (
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
)

// State is a VM's state, which it sends to the others periodically.
type State struct {
	VM fleet.VMID
	// Started is the VM's start time in milliseconds. The state of a later start replaces
	// that of an earlier one.
	Started int64
	// Sequence increases with each message since the start.
	Sequence uint64
	// StoreUnavailable is set while the VM's calls to the store fail. A VM that does not
	// call the store sets neither this field nor StoreReached.
	StoreUnavailable bool
	// StoreReached is set if the store has answered a call of the VM recently.
	StoreReached bool
	// Watching is set while the VM keeps a read of the configuration open at the store.
	Watching bool
	// HasList is set while the VM has an up-to-date list of upstreams.
	HasList bool
	// Stopping is set while the VM drains before its exit.
	Stopping bool
	// StopOrderedAgo is the time since the VM was ordered to stop.
	StopOrderedAgo time.Duration
	// ExitIn is the time after which a stopping VM exits at the latest.
	ExitIn time.Duration
	// Leading is set while the VM gives orders to engines.
	Leading bool
	// FencingToken is the highest fencing token that the VM knows.
	FencingToken uint64
	// ConfigVersion is the number of the configuration in force.
	ConfigVersion uint64
	// RevertEra is the era in which the operator last returned to an older configuration.
	RevertEra storeera.Era
	// Era is the newest era of the store that the VM knows.
	Era storeera.Era
	// Ending lists upstreams that recently announced, in answers to the VM, that they are
	// about to end.
	Ending []notice.Instance
	// Pauses lists upstreams that asked the VM to send no requests for a time. For other
	// VMs this is only a hint.
	Pauses []notice.PauseNotice
	// Reservations are the VM's reservations at upstreams.
	Reservations []Reservation
	// Budgets is the VM's use of the retry budgets within their last window.
	Budgets []BudgetUse
	// Refused holds the fingerprints of generations that the VM refused since its last
	// state message. Their callers may retry at any VM.
	Refused []uint64
	// CrashGroups are groups that the VM refuses, a bounded number in turn.
	CrashGroups []CrashGroup
	// Dead lists upstreams that refuse connections or do not answer.
	Dead []fleet.UpstreamID
	// Recovered lists upstreams that were dead and have answered a probe recently.
	Recovered []fleet.UpstreamID
	// Refusing lists upstreams that refuse work although they have capacity for it.
	Refusing []fleet.UpstreamID
	// HeldLayers are layers that engines have reported directly and that their entries in
	// the store do not contain yet.
	HeldLayers []HeldLayers
	// Slow maps upstreams that are slower than usual to their slowdown factor. Only the
	// leader sets it, because only the leader asks all engines.
	Slow map[fleet.UpstreamID]float32
}

// BudgetUse is a VM's use of a service's retry budget within one window.
type BudgetUse struct {
	// Service is the hash of the service's ID.
	Service uint32
	// Granted is the number of retries granted.
	Granted uint32
	// Migrations is the number of those retries that migrated a run which could have
	// continued where it was.
	Migrations uint32
	// Requests is the number of requests.
	Requests uint32
}

// HeldLayers are the layers that an engine reported to hold.
type HeldLayers struct {
	Upstream fleet.UpstreamID
	// Born is the engine's start time in milliseconds.
	Born   int64
	Layers fleet.LayerRange
}

// Listing is a listing published by the VM that reads the list of upstreams for the others.
type Listing struct {
	VM fleet.VMID
	roster.Listing
}

// ListWant requests the whole list of upstreams.
type ListWant struct{}

// ListOffer answers a ListWant with the list that the VM knows. Whole is false if that list
// may be out of date.
type ListOffer struct {
	roster.Listing
	// Ending lists the upstreams that are known to be about to end.
	Ending []notice.Instance
}

// SizedListOffer answers a ListWant of a VM of a build that reads it.
type SizedListOffer struct {
	Offer ListOffer
	// FleetSize is the number of VMs that the answering VM has seen recently or was told of at its
	// start, 0 if it knows none.
	FleetSize int
}

// StartOffer answers a ListWant of a VM of a build that reads it.
type StartOffer struct {
	Sized SizedListOffer
	// Crashes is what the answering VM knows of upstreams that crashed.
	Crashes crashcause.History
	// CrashesComplete is set if the answering VM has run for long enough to know what the others know,
	// or has itself got an answer with this field.
	CrashesComplete bool
}

// CrashEvidence tells what a VM has seen of upstreams that crashed.
type CrashEvidence struct {
	// Crashes are the upstreams that crashed, with the VM's runs on them.
	Crashes []crashcause.Crash
	// Sound are runs with suspected parts that were sound.
	Sound []crashcause.SoundRuns
	// Known are parts of crashed runs that were sound in earlier runs at this VM.
	Known []crashcause.Part
	// Trials are the parts of refused requests of which this VM lets one through, to find out whether
	// it still crashes upstreams.
	Trials [][]crashcause.Part
}

// CrashGroup is a set of parts that crash upstreams. Requests that hold all of them are refused.
type CrashGroup struct {
	Parts        []crashcause.Part
	Crashes      int
	FailedTrials int
	// LastCrashAgo is the time since the last crash.
	LastCrashAgo time.Duration
}
