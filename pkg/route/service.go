package route

import (
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ErrNoServer reports that the plain service has no usable server that is not excluded.
var ErrNoServer = errors.New("no usable server of the service")

// ErrUnknownRoute reports that the snapshot contains no server of the route.
var ErrUnknownRoute = errors.New("unknown route")

// Target is a chosen server of a plain service.
type Target struct {
	Upstream fleet.UpstreamID
	Address  string
	// Load counts the requests on the server. The caller must record this one's start
	// and end with RecordSent and RecordEnded.
	Load *Load
}

// PickService chooses a server for a call. The picker of the snapshot's policy
// chooses by the expected service time under load plus the link time both ways.
func PickService(s *Snapshot, route fleet.RouteID, exclude []fleet.UpstreamID, rng *rand.Rand) (Target, error) {
	servers, ok := s.routes[route]
	if !ok {
		return Target{}, ErrUnknownRoute
	}
	buf := scratchPool.Get().(*scratch)
	defer scratchPool.Put(buf)
	buf.candidates = buf.candidates[:0]
	for _, i := range servers {
		v := &s.servers[i]
		if v.Leaving || v.Ejected || slices.Contains(exclude, v.ID) {
			continue
		}
		load := v.Load.Queue() / (float64(max(v.Slots, 1)) * v.Weight)
		link := 2 * s.link(s.self, slices.Index(s.dcs, v.DataCentre))
		buf.candidates = append(buf.candidates, Candidate{i, link + v.ServiceTime.Seconds()*(1+load), load})
	}
	if len(buf.candidates) == 0 {
		return Target{}, ErrNoServer
	}
	v := &s.servers[buf.candidates[s.policy.Picker.Pick(rng, buf.candidates)].Engine]
	return Target{Upstream: v.ID, Address: v.Address, Load: v.Load}, nil
}
