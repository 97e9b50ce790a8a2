package replica

import (
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/lease"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/settings"
)

// Action is what the replica wants done or tells.
type Action interface{ action() }

// AppendAction asks for one append; AppendDone answers it.
type AppendAction struct{ Records [][]byte }

// ReadAction asks for one read; ReadDone answers it.
type ReadAction struct {
	From uint64
	Max  int
}

// DecidedAction gives the verdict on a record proposed here.
type DecidedAction struct{ Verdict Verdict }

// UndecidedAction says that a proposed record is given up. Sent is false when it
// was certainly not appended.
type UndecidedAction struct {
	ID   record.ID
	Sent bool
}

// AppliedAction says that a record was applied, whether it is valid or void. It
// comes before the actions that tell what the record decided.
type AppliedAction struct{ Record infra.Record }

// SettingsAction says that a settings record was read; Tree is the tree in force after it.
type SettingsAction struct {
	Tree    *settings.Tree
	Change  record.Settings
	Verdict Verdict
	// At is the log's time of the append.
	At time.Time
}

// LeasesAction says that a lease record was valid.
type LeasesAction struct {
	Leases  *lease.Table
	Lease   record.Lease
	Verdict Verdict
}

// StateAction says that the whole state was replaced by a snapshot.
type StateAction struct{ State *State }

// SnapshotAction says that a snapshot record was valid.
type SnapshotAction struct {
	Covers uint64
	// Mismatch is set when the snapshot differs from the state here.
	Mismatch bool
	// Own is set when this VM wrote it.
	Own bool
}

// ReadyAction says that the replica has become ready. It never becomes unready again.
type ReadyAction struct{}

// LogAction says that the log stopped answering, or answers again.
type LogAction struct {
	Available bool
	Err       error
}

func (AppendAction) action()    {}
func (ReadAction) action()      {}
func (DecidedAction) action()   {}
func (UndecidedAction) action() {}
func (AppliedAction) action()   {}
func (SettingsAction) action()  {}
func (LeasesAction) action()    {}
func (StateAction) action()     {}
func (SnapshotAction) action()  {}
func (ReadyAction) action()     {}
func (LogAction) action()       {}
