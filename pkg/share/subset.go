// Package share divides what belongs to the whole fleet between entry VMs
// without a request waiting for control: the rate of a team, the slots of an
// upstream, and the upstreams that each VM uses.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Subset returns up to size upstreams for the VM at a position among the
// count VMs of its data centre (sorted by identity). Local upstreams come
// first; remote ones fill up only when the local ones are fewer than size.
//
// All VMs see the upstreams on the same circle in hash order and take the arc
// that begins at their share of it. Each upstream is therefore taken by
// floor(count*size/len) to ceil(count*size/len)+1 VMs, and a VM that joins or
// leaves shifts each arc by at most one VM's share. Random choice would leave
// some upstreams with twice the load of others.
func Subset(dc fleet.DataCentreID, position, count, size int, local, remote []fleet.UpstreamID) []fleet.UpstreamID {
	chosen := arc(string(dc), position, count, size, local)
	rest := size - len(chosen)
	if rest <= 0 {
		return chosen
	}
	return append(chosen, arc(string(dc), position, count, rest, remote)...)
}

// arc returns size consecutive upstreams of the circle from the VM's place on.
func arc(key string, position, count, size int, upstreams []fleet.UpstreamID) []fleet.UpstreamID {
	n := len(upstreams)
	if n == 0 || count <= 0 || size <= 0 {
		return nil
	}
	circle := circle(key, upstreams)
	size = min(size, n)
	begin := position * n / count
	chosen := make([]fleet.UpstreamID, 0, size)
	for i := range size {
		chosen = append(chosen, circle[(begin+i)%n])
	}
	return chosen
}

// circle orders the upstreams by their hash with the data centre, so that data
// centres begin with different remote ones.
func circle(key string, upstreams []fleet.UpstreamID) []fleet.UpstreamID {
	type placed struct {
		id   fleet.UpstreamID
		hash uint64
	}
	all := make([]placed, len(upstreams))
	for i, u := range upstreams {
		all[i] = placed{u, xxhash.Sum64String("subset\x00" + key + "\x00" + string(u))}
	}
	slices.SortFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	ordered := make([]fleet.UpstreamID, len(all))
	for i, p := range all {
		ordered[i] = p.id
	}
	return ordered
}
