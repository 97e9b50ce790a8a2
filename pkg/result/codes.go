package result

import "net/http"

// Codes of errors in the caller's request.
const (
	MalformedBody     Code = 1001
	BodyTooLarge      Code = 1002
	UnknownModel      Code = 1003
	UnknownRoute      Code = 1004
	InvalidHeader     Code = 1005
	Unauthenticated   Code = 1006
	Forbidden         Code = 1007
	KeyRequired       Code = 1008
	KeyExpired        Code = 1009
	KeyReused         Code = 1010
	UnknownRequest    Code = 1011
	UnsupportedOption Code = 1012
)

// Codes of admission.
const (
	QueueFull           Code = 2001
	DeadlineCannotBeMet Code = 2002
	TeamOverShare       Code = 2003
	RetryBudgetSpent    Code = 2004
	Quarantined         Code = 2005
	Draining            Code = 2006
	DeadlineExceeded    Code = 2007
	CancelledByCaller   Code = 2008
	IntakeFull          Code = 2009
)

// Codes of upstreams.
const (
	NoUpstream             Code = 3001
	UpstreamFailed         Code = 3002
	UpstreamOutcomeUnknown Code = 3003
	StreamBroken           Code = 3004
	AnswerMismatch         Code = 3005
)

// Codes of the log and of idempotency claims.
const (
	LogUnavailable      Code = 4001
	ClaimInProgress     Code = 4002
	ClaimOutcomeUnknown Code = 4003
	ClaimAbandoned      Code = 4004
)

// Codes of settings.
const (
	SettingsInvalid        Code = 5001
	SettingsConflict       Code = 5002
	UnknownBranch          Code = 5003
	SettingsOutcomeUnknown Code = 5004
)

// Codes of start and command line.
const (
	ConfigInvalid        Code = 6001
	AddressInUse         Code = 6002
	NotReady             Code = 6003
	RehearsalOutOfBounds Code = 6004
)

// Internal is the code of an error in the router itself.
const Internal Code = 9001

var definitions = map[Code]definition{
	MalformedBody:     {"malformed_body", http.StatusBadRequest},
	BodyTooLarge:      {"body_too_large", http.StatusRequestEntityTooLarge},
	UnknownModel:      {"unknown_model", http.StatusNotFound},
	UnknownRoute:      {"unknown_route", http.StatusNotFound},
	InvalidHeader:     {"invalid_header", http.StatusBadRequest},
	Unauthenticated:   {"unauthenticated", http.StatusUnauthorized},
	Forbidden:         {"forbidden", http.StatusForbidden},
	KeyRequired:       {"idempotency_key_required", http.StatusBadRequest},
	KeyExpired:        {"idempotency_key_expired", http.StatusConflict},
	KeyReused:         {"idempotency_key_reused", http.StatusUnprocessableEntity},
	UnknownRequest:    {"unknown_request", http.StatusNotFound},
	UnsupportedOption: {"unsupported_option", http.StatusBadRequest},

	QueueFull:           {"queue_full", http.StatusTooManyRequests},
	DeadlineCannotBeMet: {"deadline_cannot_be_met", http.StatusTooManyRequests},
	TeamOverShare:       {"team_over_share", http.StatusTooManyRequests},
	RetryBudgetSpent:    {"retry_budget_spent", http.StatusServiceUnavailable},
	Quarantined:         {"request_quarantined", http.StatusTooManyRequests},
	Draining:            {"draining", http.StatusServiceUnavailable},
	DeadlineExceeded:    {"deadline_exceeded", http.StatusGatewayTimeout},
	CancelledByCaller:   {"cancelled_by_caller", 499},
	IntakeFull:          {"intake_full", http.StatusServiceUnavailable},

	NoUpstream:             {"no_upstream", http.StatusServiceUnavailable},
	UpstreamFailed:         {"upstream_failed", http.StatusBadGateway},
	UpstreamOutcomeUnknown: {"upstream_outcome_unknown", http.StatusBadGateway},
	StreamBroken:           {"stream_broken", http.StatusBadGateway},
	AnswerMismatch:         {"answer_mismatch", http.StatusBadGateway},

	LogUnavailable:      {"log_unavailable", http.StatusServiceUnavailable},
	ClaimInProgress:     {"claim_in_progress", http.StatusConflict},
	ClaimOutcomeUnknown: {"claim_outcome_unknown", http.StatusConflict},
	ClaimAbandoned:      {"claim_abandoned", http.StatusConflict},

	SettingsInvalid:        {"settings_invalid", http.StatusBadRequest},
	SettingsConflict:       {"settings_conflict", http.StatusConflict},
	UnknownBranch:          {"unknown_branch", http.StatusNotFound},
	SettingsOutcomeUnknown: {"settings_outcome_unknown", http.StatusServiceUnavailable},

	ConfigInvalid:        {"config_invalid", http.StatusInternalServerError},
	AddressInUse:         {"address_in_use", http.StatusInternalServerError},
	NotReady:             {"not_ready", http.StatusServiceUnavailable},
	RehearsalOutOfBounds: {"rehearsal_out_of_bounds", http.StatusBadRequest},

	Internal: {"internal", http.StatusInternalServerError},
}
