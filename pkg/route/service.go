package route

import (
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ErrNoServer states that no usable server of the plain service is left.
var ErrNoServer = errors.New("no usable server of the service")

// ErrUnknownRoute states that the snapshot holds no server of the route.
var ErrUnknownRoute = errors.New("unknown route")

// Target is a chosen server of a plain service.
type Target struct {
	Upstream fleet.UpstreamID
	Address  string
	Load     *Load
}

// PickService returns a server for a call: two choices among the near-equal
// ones by expected time, link and load.
func PickService(s *Snapshot, route fleet.RouteID, exclude []fleet.UpstreamID, rng *rand.Rand) (Target, error) {
	servers, ok := s.routes[route]
	if !ok {
		return Target{}, ErrUnknownRoute
	}
	w := scratchPool.Get().(*scratch)
	defer scratchPool.Put(w)
	w.candidates = w.candidates[:0]
	for _, i := range servers {
		v := &s.servers[i]
		if v.Leaving || v.Ejected || slices.Contains(exclude, v.ID) {
			continue
		}
		load := v.Load.Queue() / (float64(max(v.Slots, 1)) * v.Weight)
		link := 2 * s.link(s.self, slices.Index(s.dcs, v.DataCentre))
		w.candidates = append(w.candidates, Candidate{i, link + v.Time.Seconds()*(1+load), load})
	}
	if len(w.candidates) == 0 {
		return Target{}, ErrNoServer
	}
	v := &s.servers[w.candidates[s.plan.Picker.Pick(rng, w.candidates)].Engine]
	return Target{Upstream: v.ID, Address: v.Address, Load: v.Load}, nil
}
