// Package fleet defines the identifiers and small value types that the other
// packages share. docs/GLOSSARY.md maps its names to standard terms.
package fleet

import "fmt"

// VMID identifies an entry VM (a node of the router).
type VMID string

// DataCentreID identifies a data centre (a zone).
type DataCentreID string

// RegionID identifies a region, which holds one or more data centres.
type RegionID string

// TeamID identifies a team (a tenant).
type TeamID string

// UpstreamID identifies an upstream (a backend: a model engine or a server of a plain service).
type UpstreamID string

// ModelID identifies a model.
type ModelID string

// RouteID identifies a route to a plain service.
type RouteID string

// RequestID identifies one caller's request throughout the fleet.
type RequestID string

// Token is one token of a model's vocabulary.
type Token = uint32

// VM describes an entry VM, as reported by the platform's VM list and by membership.
type VM struct {
	ID         VMID         `json:"id" msgpack:"id"`
	DataCentre DataCentreID `json:"data_centre" msgpack:"dc"`
	Region     RegionID     `json:"region" msgpack:"rg"`
	// Address is the IP:port that callers connect to.
	Address string `json:"address" msgpack:"ad"`
	// PeerAddress is the IP:port that other entry VMs connect to.
	PeerAddress string `json:"peer_address" msgpack:"pa"`
	// Leaving is set while the VM drains before a planned stop.
	Leaving bool `json:"leaving,omitempty" msgpack:"lv,omitempty"`
}

// Rank is the priority class of a request.
type Rank uint8

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Lookup
	Overnight
	// RankCount is the number of ranks.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "lookup", "overnight"}

// String returns the rank's name as used in settings and headers.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// ParseRank returns the rank with the given name.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q: want urgent, lookup or overnight", name)
}

// LayerRange is the half-open range of layers [First, End).
type LayerRange struct {
	First int `json:"first" msgpack:"f"`
	End   int `json:"end" msgpack:"e"`
}

// Len returns the number of layers in the range.
func (l LayerRange) Len() int { return l.End - l.First }

// Contains reports whether the range covers other.
func (l LayerRange) Contains(other LayerRange) bool {
	return l.First <= other.First && other.End <= l.End
}

// String formats the range as "first-end".
func (l LayerRange) String() string { return fmt.Sprintf("%d-%d", l.First, l.End) }
