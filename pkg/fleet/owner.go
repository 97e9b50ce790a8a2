package fleet

import (
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the VM with the highest rendezvous hash for a key, so that VMs that know the same
// VMs agree on one of them.
func Owner(key string, vms iter.Seq[VMID]) VMID {
	best, owner := uint64(0), VMID("")
	for vm := range vms {
		if h := xxhash.Sum64String(key + "\x00" + string(vm)); h >= best {
			best, owner = h, vm
		}
	}
	return owner
}

// CountBefore returns the number of VMs that come before a given one in the order of a key, whose first
// VM is the Owner.
func CountBefore(key string, vm VMID, vms iter.Seq[VMID]) int {
	before := 0
	for other := range vms {
		if other != vm && Owner(key, slices.Values([]VMID{other, vm})) == other {
			before++
		}
	}
	return before
}
