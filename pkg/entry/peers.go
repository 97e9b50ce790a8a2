package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/spread"
	"github.com/cornelline/cornelline/pkg/wire"
)

// explainTimeout bounds the lookup of an explanation on all other VMs.
const explainTimeout = time.Second

// errUnknownMessage is returned to a peer for a request type that this VM does not
// support.
var errUnknownMessage = errors.New("unknown message")

// receive passes a peer's message to the quarantine tracker or to membership.
func (s *Server) receive(_ wire.Peer, m wire.Message) {
	if suspicion, ok := m.(*quarantine.Message); ok {
		s.suspects.handleMessage(*suspicion)
		if suspicion.Kind == quarantine.CrashReport {
			s.control.probeSoon(suspicion.Crash.Upstream)
		}
		return
	}
	s.control.post(func(now time.Time) { s.control.applyMembershipActions(s.control.members.Receive(now, m)) })
}

// peerFailed logs why a connection to another VM ended.
func (s *Server) peerFailed(address string, err error) {
	s.stats.Count("peer_connections_failed")
	s.log.Log(event.PeerConnectionFailed).Str("peer", address).Err(err).Send()
}

// sendQuarantineMessage sends a quarantine message to the VM m.To, or to all VMs when
// m.To is empty.
func (s *Server) sendQuarantineMessage(m quarantine.Message) {
	var addresses []string
	for id, address := range s.peerAddresses() {
		if m.To == "" || m.To == id {
			addresses = append(addresses, address)
		}
	}
	_ = s.peers.Broadcast(addresses, &m) // a loss is harmless: wants are repeated, and later crashes spread suspicions too
}

// respond answers a peer's request.
func (s *Server) respond(ctx context.Context, _ wire.Peer, m wire.Message) (wire.Message, error) {
	switch m := m.(type) {
	case *wire.Explain:
		data, found := s.localExplanation(m.Request, m.Team)
		return &wire.Explanation{Found: found, JSON: data}, nil
	case *spread.SnapshotWant:
		return s.offerState(ctx, m)
	}
	return nil, errUnknownMessage
}

// localExplanation returns the explanation of a request that this VM received. A
// non-empty team limits the lookup to that team's requests.
func (s *Server) localExplanation(id fleet.RequestID, team fleet.TeamID) ([]byte, bool) {
	trace, ok := s.traces.Get(id)
	if !ok || team != "" && trace.Team != team {
		return nil, false
	}
	data, err := json.Marshal(trace)
	return data, err == nil
}

// findExplanation looks up an explanation on this VM first, then on all other VMs
// known here.
func (s *Server) findExplanation(ctx context.Context, id fleet.RequestID, team fleet.TeamID) ([]byte, bool) {
	if data, ok := s.localExplanation(id, team); ok {
		return data, true
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	peers := s.peerAddresses()
	answers := make(chan []byte, len(peers))
	for _, peer := range peers {
		go func() { answers <- s.fetchExplanation(ctx, peer, id, team) }()
	}
	for range peers {
		if data := <-answers; data != nil {
			return data, true
		}
	}
	return nil, false
}

func (s *Server) fetchExplanation(ctx context.Context, peer string, id fleet.RequestID, team fleet.TeamID) []byte {
	answer, err := s.peers.Call(ctx, peer, &wire.Explain{Request: id, Team: team})
	if err != nil {
		return nil
	}
	if explanation, ok := answer.(*wire.Explanation); ok && explanation.Found {
		return explanation.JSON
	}
	return nil
}

// peerAddresses returns the addresses for traffic between VMs of the other members
// known here.
func (s *Server) peerAddresses() map[fleet.VMID]string {
	view := s.fleetView().members
	addresses := map[fleet.VMID]string{}
	for _, m := range view.Members {
		addresses[m.ID] = m.PeerAddress
	}
	for _, dc := range view.DataCentres {
		if dc.DataCentre == s.cfg.DomainID() {
			continue
		}
		for _, c := range append(dc.Relays, dc.Sample...) {
			addresses[c.ID] = c.PeerAddress
		}
	}
	delete(addresses, s.cfg.VM)
	return addresses
}

// settingsHistory answers GET /v1/settings-history.
func (s *Server) settingsHistory(ctx khttp.Context) error {
	branch := ctx.Query().Get("branch")
	all := s.settings.Changes(ctx.Request().Context())
	changes := all[:0]
	for _, change := range all {
		if branch == "" || change.Branch == branch {
			changes = append(changes, change)
		}
	}
	return ctx.JSON(http.StatusOK, changes)
}
