// Package peering defines the messages by which entry VMs tell each other what
// they have promised to upstreams, which configuration is in force, and which
// upstreams they found dead.
package peering

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
)

// State is a VM's regular news to the others.
type State struct {
	VM fleet.VMID
	// Started is the VM's start in milliseconds; a later start replaces an earlier one.
	Started int64
	// Sequence grows with each message of a start.
	Sequence uint64
	// StoreAway is set while the store does not answer this VM, StoreReached if it
	// answered a call of late. A VM that asks the store nothing sets neither.
	StoreAway    bool
	StoreReached bool
	// Watching is set while the VM holds a read of the configuration at the store.
	Watching bool
	// Listed is set while the VM has a list of upstreams that it keeps up to date.
	Listed bool
	// Stopping is set while the VM drains: since OrderedAgo, until its exit in ExitIn at the
	// latest.
	Stopping   bool
	OrderedAgo time.Duration
	ExitIn     time.Duration
	// Leading is set while the VM gives orders to engines. Token is the highest
	// fencing token that it knows of.
	Leading bool
	Token   uint64
	// Config is the version of the configuration in force, Reverted the era in which the
	// operator last went back to an older one.
	Config   uint64
	Reverted storeera.Era
	// Era is the newest era of the store that the VM knows.
	Era storeera.Era
	// Ends are upstreams that said of late, in answers to the VM, that they are about to end.
	Ends []notice.Instance
	// Pauses are upstreams that want no requests of the VM for a time. For others that is a
	// hint.
	Pauses []notice.Pausing
	// Promises are what the VM has promised to upstreams.
	Promises []Promise
	// Budgets are what the VM did within the last window of the retry budgets.
	Budgets []BudgetUse
	// Refused are fingerprints of the generations that the VM refused since its last
	// news; their callers may come back to any VM.
	Refused []uint64
	// Dead are upstreams that refuse connections or do not answer.
	Dead []fleet.UpstreamID
	// Back are upstreams that were dead and answered a probe of late.
	Back []fleet.UpstreamID
	// Refusing are upstreams that refuse work though they have room for it.
	Refusing []fleet.UpstreamID
	// Held are layers that engines reported themselves and that their entries in
	// the store do not show yet.
	Held []Held
	// Slow are upstreams that work more slowly than usual, with their factor. Only
	// the leader, which asks all engines, says so.
	Slow map[fleet.UpstreamID]float32
}

// BudgetUse is what a VM did within a window of a service's retry budget.
type BudgetUse struct {
	// Service is the hash of the service's identity.
	Service uint32
	Granted uint32
	// Moves are the repeats among Granted for runs that could have stayed.
	Moves    uint32
	Requests uint32
}

// Held is what an engine reported of its layers.
type Held struct {
	Upstream fleet.UpstreamID
	// Born is the engine's start in milliseconds.
	Born   int64
	Layers fleet.LayerRange
}

// Listing is what a VM that reads the list of upstreams for the others found.
type Listing struct {
	VM fleet.VMID
	roster.Listing
}

// ConfigWant asks for the configuration if it is newer than a version; a VM that has none
// asks with a version of zero.
type ConfigWant struct{ Version storeera.Version }

// ConfigOffer is the configuration that a VM has in force, as it stands in the
// store; empty when it has none newer.
type ConfigOffer struct {
	Data     []byte
	Reverted storeera.Era
}

// ListWant asks for the whole list of upstreams.
type ListWant struct{}

// ListOffer is the list of upstreams as a VM knows it; Whole is false when its own may be old.
type ListOffer struct {
	roster.Listing
	// Ends are the upstreams that are known to be about to end.
	Ends []notice.Instance
}

// Crash reports that an upstream ended while it ran a request.
type Crash struct {
	Request  uint64 // fingerprint of the request
	Upstream fleet.UpstreamID
}
