package event

import "github.com/rs/zerolog"

// Lifecycle events.
const (
	Started          ID = 101
	Stopped          ID = 102
	DrainStarted     ID = 103
	DrainEnded       ID = 104
	StartFailed      ID = 105
	TransportWarning ID = 106
	LinesDropped     ID = 107
	Reloaded         ID = 108
	LinesSuppressed  ID = 109
	TaskPanicked     ID = 110
	ControlLate      ID = 111
)

// Request events.
const (
	RequestDone    ID = 201
	RequestRefused ID = 202
	RequestFailed  ID = 203
	// The following events are decisions about a request on the users' platform.
	RequestCancelled ID = 204
	RequestQueued    ID = 205
	RequestSent      ID = 206
	RequestRetried   ID = 207
	RetryDenied      ID = 208
	ChainRefused     ID = 209
	StreamBroken     ID = 210
	// 211 was request_suspected.
	RunBroken        ID = 212
	CrashCauseFound  ID = 213
	CallerTurnedAway ID = 214
	RunRerouted      ID = 215
	CrashSuspected   ID = 216
	CrashTrialBegun  ID = 217
	RunMoved         ID = 218
	MoveRefused      ID = 219
)

// Pipeline events.
const (
	AttemptStarted ID = 301
	AttemptFailed  ID = 302
	TokenDropped   ID = 303
)

// Log, settings and claim events.
const (
	LogUnavailable    ID = 401
	LogAvailable      ID = 402
	SettingsApplied   ID = 403
	SettingsRejected  ID = 404
	SnapshotWritten   ID = 405
	SnapshotMismatch  ID = 406
	ClaimUnknown      ID = 407
	ConfigInForce     ID = 408
	ConfigRejected    ID = 409
	EntryRejected     ID = 410
	StoreRestored     ID = 411
	StoreAnswerLate   ID = 412
	ConfigNotFetched  ID = 413
	StartedFromCopy   ID = 414
	CopyNotWritten    ID = 415
	CrashRecordFailed ID = 416
)

// Placement events.
const (
	PlacementLeaseTaken  ID = 601
	PlacementLeaseLost   ID = 602
	PlacementPlanned     ID = 603
	PlacementReissued    ID = 604
	PlacementOrderFailed ID = 605
	PlacementEngineLost  ID = 606
	PlacementBlocked     ID = 607
	PlacementOrdered     ID = 608
)

// Membership and spread events.
const (
	MemberJoined          ID = 501
	MemberLost            ID = 502
	MemberLeaving         ID = 503
	PeerConnectionFailed  ID = 504
	DataCentreUnreachable ID = 505
	DataCentreReachable   ID = 506
	SettingsBehind        ID = 507
	SettingsCaughtUp      ID = 508
	VMsUnseen             ID = 509
	VMsSeen               ID = 510
)

var definitions = map[ID]definition{
	Started:          {"started", zerolog.InfoLevel},
	Stopped:          {"stopped", zerolog.InfoLevel},
	DrainStarted:     {"drain_started", zerolog.InfoLevel},
	DrainEnded:       {"drain_ended", zerolog.InfoLevel},
	StartFailed:      {"start_failed", zerolog.ErrorLevel},
	TransportWarning: {"transport_warning", zerolog.WarnLevel},

	RequestDone:    {"request_done", zerolog.InfoLevel},
	RequestRefused: {"request_refused", zerolog.InfoLevel},
	RequestFailed:  {"request_failed", zerolog.WarnLevel},

	RequestCancelled: {"request_cancelled", zerolog.InfoLevel},
	RequestQueued:    {"request_queued", zerolog.InfoLevel},
	RequestSent:      {"request_sent", zerolog.InfoLevel},
	RequestRetried:   {"request_retried", zerolog.InfoLevel},
	RetryDenied:      {"retry_denied", zerolog.InfoLevel},
	ChainRefused:     {"chain_refused", zerolog.InfoLevel},
	StreamBroken:     {"stream_broken", zerolog.WarnLevel},
	RunBroken:        {"run_broken", zerolog.InfoLevel},
	CrashCauseFound:  {"crash_cause_found", zerolog.WarnLevel},
	CallerTurnedAway: {"caller_turned_away", zerolog.WarnLevel},
	RunRerouted:      {"run_rerouted", zerolog.InfoLevel},
	CrashSuspected:   {"crash_suspected", zerolog.InfoLevel},
	CrashTrialBegun:  {"crash_trial_begun", zerolog.InfoLevel},
	RunMoved:         {"run_moved", zerolog.InfoLevel},
	MoveRefused:      {"move_refused", zerolog.InfoLevel},

	LinesDropped:      {"lines_dropped", zerolog.WarnLevel},
	Reloaded:          {"settings_reloaded", zerolog.InfoLevel},
	LinesSuppressed:   {"lines_suppressed", zerolog.WarnLevel},
	TaskPanicked:      {"task_panicked", zerolog.ErrorLevel},
	ControlLate:       {"control_late", zerolog.WarnLevel},
	ConfigInForce:     {"config_in_force", zerolog.InfoLevel},
	StartedFromCopy:   {"started_from_copy", zerolog.WarnLevel},
	CopyNotWritten:    {"copy_not_written", zerolog.WarnLevel},
	CrashRecordFailed: {"crash_record_failed", zerolog.WarnLevel},
	ConfigRejected:    {"config_rejected", zerolog.ErrorLevel},
	ConfigNotFetched:  {"config_not_fetched", zerolog.WarnLevel},
	EntryRejected:     {"upstream_entry_rejected", zerolog.WarnLevel},
	UpstreamChanged:   {"upstream_changed", zerolog.InfoLevel},
	UpstreamSlow:      {"upstream_slow", zerolog.InfoLevel},
	UpstreamRefusing:  {"upstream_refusing", zerolog.WarnLevel},
	UpstreamPaused:    {"upstream_paused", zerolog.InfoLevel},
	NoticeMalformed:   {"upstream_notice_odd", zerolog.WarnLevel},
	StoreRestored:     {"store_restored", zerolog.WarnLevel},
	StoreAnswerLate:   {"store_answer_late", zerolog.WarnLevel},
	PlacementOrdered:  {"placement_ordered", zerolog.InfoLevel},

	AttemptStarted: {"attempt_started", zerolog.DebugLevel},
	AttemptFailed:  {"attempt_failed", zerolog.WarnLevel},
	TokenDropped:   {"token_dropped", zerolog.WarnLevel},

	LogUnavailable:   {"log_unavailable", zerolog.WarnLevel},
	LogAvailable:     {"log_back", zerolog.InfoLevel},
	SettingsApplied:  {"settings_applied", zerolog.InfoLevel},
	SettingsRejected: {"settings_void", zerolog.InfoLevel},
	SnapshotWritten:  {"snapshot_written", zerolog.InfoLevel},
	SnapshotMismatch: {"snapshot_mismatch", zerolog.ErrorLevel},
	ClaimUnknown:     {"claim_outcome_unknown", zerolog.WarnLevel},

	UpstreamEjected:  {"upstream_ejected", zerolog.WarnLevel},
	UpstreamReturned: {"upstream_returned", zerolog.InfoLevel},

	RehearsalStarted:      {"rehearsal_started", zerolog.WarnLevel},
	RehearsalEnded:        {"rehearsal_ended", zerolog.InfoLevel},
	PlacementLeaseTaken:   {"placement_lease_taken", zerolog.InfoLevel},
	PlacementLeaseLost:    {"placement_lease_lost", zerolog.WarnLevel},
	PlacementPlanned:      {"placement_planned", zerolog.InfoLevel},
	PlacementReissued:     {"placement_order_reissued", zerolog.WarnLevel},
	PlacementOrderFailed:  {"placement_order_failed", zerolog.WarnLevel},
	PlacementEngineLost:   {"placement_engine_lost", zerolog.WarnLevel},
	PlacementBlocked:      {"placement_blocked", zerolog.ErrorLevel},
	MemberJoined:          {"member_joined", zerolog.InfoLevel},
	MemberLost:            {"member_lost", zerolog.WarnLevel},
	MemberLeaving:         {"member_leaving", zerolog.InfoLevel},
	PeerConnectionFailed:  {"peer_connection_failed", zerolog.WarnLevel},
	DataCentreUnreachable: {"data_centre_unreachable", zerolog.WarnLevel},
	DataCentreReachable:   {"data_centre_back", zerolog.InfoLevel},
	SettingsBehind:        {"settings_behind", zerolog.WarnLevel},
	SettingsCaughtUp:      {"settings_caught_up", zerolog.InfoLevel},
	VMsUnseen:             {"vms_unseen", zerolog.InfoLevel},
	VMsSeen:               {"vms_seen", zerolog.InfoLevel},
}
