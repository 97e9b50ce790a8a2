package entry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/settings"
)

// pendingClaimTimeout is the age at which the outcome of a pending claim counts as
// unknown. It exceeds the longest route timeout by 15 s for the call's usual log
// accesses: otherwise the claim of a call that is still running could be abandoned,
// and a repeat of the key would be told that the outcome is unknown.
const pendingClaimTimeout = settings.MaxRouteTimeout + 15*time.Second

// maxSnapshotJitter spreads the VMs' snapshots over time, so that the other VMs have
// read the first snapshot before they would write their own.
const maxSnapshotJitter = 30 * time.Second

// newRunner returns the replica runner for one stream of the log.
func (s *Server) newRunner(log infra.Log, stream string) *replica.Runner {
	return replica.NewRunner(replica.RunnerConfig{
		Config: replica.Config{
			SeedPeers:      len(s.cfg.Seeds),
			SnapshotJitter: time.Duration(fnvHash(string(s.cfg.VM)) % uint64(maxSnapshotJitter)),
			StartFromPeers: stream == infra.SettingsStream,
		},
		Log: log, Stream: stream, VM: s.cfg.VM, Events: s.log,
		Params:       replica.ParametersOf(settings.Empty().Effective(settings.Scope{})),
		PendingLimit: pendingClaimTimeout,
	})
}
