package entry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/settings"
)

// pendingClaimLimit is the age at which a claim without an outcome counts as
// unknown. It exceeds the longest route timeout by the usual time of its log calls:
// otherwise the claim of a call that still runs could be given up, and a repeat
// of the key would be told that the outcome is unknown.
const pendingClaimLimit = settings.MaxRouteTimeout + 15*time.Second

// snapshotJitterMax spreads the VMs' snapshots, so that the first one to write
// has been read by the others before they would write their own.
const snapshotJitterMax = 30 * time.Second

// newRunner returns the runner of one stream of the log.
func (s *Server) newRunner(log infra.Log, stream string) *replica.Runner {
	return replica.NewRunner(replica.RunnerConfig{
		Config: replica.Config{
			Seeds:          len(s.cfg.Seeds),
			Jitter:         time.Duration(hashOf(string(s.cfg.VM)) % uint64(snapshotJitterMax)),
			StartFromPeers: stream == infra.SettingsStream,
		},
		Log: log, Stream: stream, VM: s.cfg.VM, Events: s.log,
		Params:       replica.ParametersOf(settings.Empty().Effective(settings.Scope{})),
		PendingLimit: pendingClaimLimit,
	})
}
