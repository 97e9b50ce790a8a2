package settings

import (
	"math"
	"time"
)

// Kind is the type of a setting.
type Kind string

// The kinds of settings.
const (
	KindDuration  Kind = "duration"
	KindBytes     Kind = "bytes"
	KindInteger   Kind = "integer"
	KindNumber    Kind = "number"
	KindShare     Kind = "share"
	KindBool      Kind = "boolean"
	KindText      Kind = "text"
	KindChoice    Kind = "choice"
	KindAddress   Kind = "address"
	KindPath      Kind = "path"
	KindTimeOfDay Kind = "time of day"
	KindRank      Kind = "rank"
	KindNames     Kind = "list of names"
	KindHashes    Kind = "list of SHA-256 hashes"
)

// Definition describes one setting.
type Definition struct {
	// Name is the dotted path within a branch's JSON object; "*" stands for any name.
	Name string
	Kind Kind
	// Levels are the levels whose branches may set the setting.
	Levels []Level
	// Default is the JSON text of the value in force where no branch sets one. It
	// is empty for a setting that only the branch itself can provide.
	Default string
	// Min and Max are the inclusive bounds of a number or of a duration in nanoseconds.
	Min, Max float64
	// Required is true when every branch of Levels must set the setting.
	Required bool
	// Choices are the accepted values of a KindChoice setting.
	Choices []string
	Doc     string
}

// The levels that settings of a group have in common.
var (
	placeLevels  = []Level{LevelFleet, LevelRegion, LevelDataCentre}
	fleetOnly    = []Level{LevelFleet}
	dcOnly       = []Level{LevelDataCentre}
	rankOnly     = []Level{LevelRank}
	modelOnly    = []Level{LevelModel}
	routeOnly    = []Level{LevelRoute}
	upstreamOnly = []Level{LevelUpstream}
	teamOnly     = []Level{LevelTeam}
)

// placesAnd returns the fleet, region and data centre levels followed by more.
func placesAnd(more ...Level) []Level { return append(append([]Level(nil), placeLevels...), more...) }

const (
	ms     = float64(time.Millisecond)
	sec    = float64(time.Second)
	minute = float64(time.Minute)
	hour   = float64(time.Hour)
	// maxBytes is the limit up to which a JSON number, read as a float64, is exact.
	maxBytes = float64(1 << 53)
	noLimit  = math.MaxInt32
)

// MaxRouteTimeout bounds the timeout of a route. The outcome of a claim counts as
// unknown when none is recorded within a fixed time, and a call must end well
// before that time is over.
const MaxRouteTimeout = time.Minute

// Definitions lists all settings. docs/SETTINGS.md is generated from it.
var Definitions = []Definition{
	{Name: "limits.body_bytes", Kind: KindBytes, Levels: placesAnd(LevelRank, LevelModel, LevelRoute, LevelTeam, LevelTeamRank, LevelTeamModel), Default: "1048576", Min: 1, Max: 1 << 30, Doc: "largest request body"},
	{Name: "limits.queue", Kind: KindInteger, Levels: placesAnd(LevelRank), Default: "10000", Min: 1, Max: 1e6, Doc: "requests that may wait in one VM's queue of a rank and model (overnight 200000)"},
	{Name: "limits.max_tokens", Kind: KindInteger, Levels: placesAnd(LevelRank, LevelModel, LevelTeam, LevelTeamRank, LevelTeamModel), Default: "4096", Min: 1, Max: 1e6, Doc: "most tokens that one request may generate"},
	{Name: "address.valid_for", Kind: KindDuration, Levels: placeLevels, Default: `"30s"`, Min: sec, Max: 10 * minute, Doc: "how long a caller may cache the answer of `GET /v1/address`"},
	{Name: "drain.max", Kind: KindDuration, Levels: placeLevels, Default: `"10m"`, Min: sec, Max: 24 * hour, Doc: "longest drain before a planned stop; not shorter than address.valid_for"},
	{Name: "claims.window", Kind: KindDuration, Levels: fleetOnly, Default: `"6h"`, Min: minute, Max: 7 * 24 * hour, Doc: "age up to which an idempotency key is accepted; shorter than log.retention"},
	{Name: "claims.batch_interval", Kind: KindDuration, Levels: placeLevels, Default: `"5ms"`, Min: ms, Max: 10 * sec, Doc: "least time between the starts of two appends of one VM to a stream"},
	{Name: "claims.batch_records", Kind: KindInteger, Levels: placeLevels, Default: "256", Min: 1, Max: 10000, Doc: "most records in one append"},
	{Name: "log.retention", Kind: KindDuration, Levels: fleetOnly, Default: `"24h"`, Min: minute, Max: 365 * 24 * hour, Doc: "how long the platform's log keeps a record; a snapshot is written every third of it"},
	{Name: "log.poll", Kind: KindDuration, Levels: placeLevels, Default: `"250ms"`, Min: ms, Max: minute, Doc: "time between two reads of an idle stream"},

	{Name: "default_deadline", Kind: KindDuration, Levels: []Level{LevelRank, LevelTeamRank}, Min: ms, Max: 7 * 24 * hour, Default: `"30s"`, Doc: "deadline of a request that names none (urgent 30s, lookup 2s, overnight 24h); for overnight the next overnight.dawn when that is earlier"},
	{Name: "guaranteed_share", Kind: KindShare, Levels: rankOnly, Default: "0", Min: 0, Max: 1, Doc: "share of the capacity that a rank keeps in any flood (urgent 0.5, lookup 0.2, overnight 0.1); the sum is at most 1, and what is not guaranteed goes by rank"},
	{Name: "overnight.dawn", Kind: KindTimeOfDay, Levels: placesAnd(LevelTeam), Default: `"06:00"`, Doc: "time of day by which overnight work is done"},
	{Name: "overnight.utc_offset", Kind: KindDuration, Levels: placesAnd(LevelTeam), Default: `"0s"`, Min: -14 * hour, Max: 14 * hour, Doc: "offset from UTC of overnight.dawn"},

	{Name: "operators.key_hashes", Kind: KindHashes, Levels: fleetOnly, Default: "[]", Doc: "SHA-256 hashes of the operators' keys, in lower-case hexadecimal"},
	{Name: "key_hashes", Kind: KindHashes, Levels: teamOnly, Default: "[]", Doc: "SHA-256 hashes of the team's keys, in lower-case hexadecimal"},
	{Name: "weight", Kind: KindNumber, Levels: teamOnly, Default: "1", Min: 0.001, Max: 1e6, Doc: "entitlement of the team relative to the others"},
	{Name: "default_rank", Kind: KindRank, Levels: teamOnly, Default: `"lookup"`, Doc: "rank of a request that names none"},
	{Name: "allowed_models", Kind: KindNames, Levels: teamOnly, Default: "[]", Doc: "models that the team may use; empty allows all"},

	{Name: "layers", Kind: KindInteger, Levels: modelOnly, Required: true, Min: 1, Max: 10000, Doc: "number of layers of the model"},
	{Name: "version", Kind: KindText, Levels: modelOnly, Required: true, Doc: "version that the engines must hold"},
	{Name: "adapters", Kind: KindNames, Levels: modelOnly, Default: "[]", Doc: "adapters of the model"},
	{Name: "bytes_per_layer", Kind: KindBytes, Levels: modelOnly, Default: "1073741824", Min: 1, Max: maxBytes, Doc: "size of the weights of one layer"},
	{Name: "kv_bytes_per_token_layer", Kind: KindBytes, Levels: modelOnly, Default: "4096", Min: 1, Max: maxBytes, Doc: "size of the KV cache for one token and layer"},

	{Name: "path", Kind: KindPath, Levels: routeOnly, Required: true, Doc: "HTTP path at the service"},
	{Name: "upstreams", Kind: KindNames, Levels: routeOnly, Required: true, Doc: "servers of the service; each an upstream of kind service"},
	{Name: "repeatable", Kind: KindBool, Levels: routeOnly, Default: "false", Doc: "whether a call may be sent more than once"},
	{Name: "timeout", Kind: KindDuration, Levels: routeOnly, Default: `"5s"`, Min: ms, Max: float64(MaxRouteTimeout), Doc: "longest wait for the service's answer"},

	{Name: "address", Kind: KindAddress, Levels: upstreamOnly, Required: true, Doc: "IP:port of the upstream"},
	{Name: "kind", Kind: KindChoice, Levels: upstreamOnly, Required: true, Choices: []string{UpstreamKindEngine, UpstreamKindService}, Doc: "model engine or plain service"},
	{Name: "data_centre", Kind: KindText, Levels: upstreamOnly, Required: true, Doc: "data centre of the upstream"},
	{Name: "fencing", Kind: KindChoice, Levels: upstreamOnly, Default: `"ignored"`, Choices: []string{FencingEnforced, FencingIgnored}, Doc: "whether the engine refuses an order with a stale epoch"},
	{Name: "accelerator", Kind: KindText, Levels: upstreamOnly, Default: `""`, Doc: "kind of the accelerator"},
	{Name: "memory_bytes", Kind: KindBytes, Levels: upstreamOnly, Default: "0", Min: 0, Max: maxBytes, Doc: "memory for weights and KV cache; an engine must give it"},
	{Name: "speed", Kind: KindNumber, Levels: upstreamOnly, Default: "1", Min: 0.001, Max: 1e6, Doc: "speed relative to the fleet's reference accelerator"},
	{Name: "slots", Kind: KindInteger, Levels: upstreamOnly, Default: "8", Min: 1, Max: 1e6, Doc: "batch slots of an engine, parallel calls of a service"},
	{Name: "upstreams.silence", Kind: KindDuration, Levels: placesAnd(LevelUpstream), Default: `"2s"`, Min: 600 * ms, Max: minute, Doc: "silence after which a stream is abandoned; longer than the engines' heartbeat of 500ms"},
	{Name: "upstreams.connect_timeout", Kind: KindDuration, Levels: placeLevels, Default: `"1s"`, Min: ms, Max: minute, Doc: "longest wait for a connection to an upstream or to the platform"},
	{Name: "upstreams.state_poll", Kind: KindDuration, Levels: placesAnd(LevelUpstream), Default: `"1s"`, Min: 10 * ms, Max: minute, Doc: "time between two reads of an engine's state"},

	{Name: "links.*.latency", Kind: KindDuration, Levels: dcOnly, Default: `"1ms"`, Min: 0, Max: 10 * sec, Doc: "one-way latency to the named data centre"},
	{Name: "links.*.bytes_per_second", Kind: KindBytes, Levels: dcOnly, Default: "125000000", Min: 1, Max: maxBytes, Doc: "rate to the named data centre"},

	{Name: "admission.max_wait", Kind: KindDuration, Levels: placesAnd(LevelRank), Default: `"0s"`, Min: 0, Max: 24 * hour, Doc: "longest time in the queue (urgent 900ms, lookup 800ms); 0s means that only the deadline bounds it"},
	{Name: "admission.depth", Kind: KindNumber, Levels: placeLevels, Default: "0.25", Min: 0, Max: 10, Doc: "requests in flight beyond a VM's slots, as a fraction of them, for ranks below their guaranteed share; at least one request"},
	{Name: "admission.headroom", Kind: KindNumber, Levels: placeLevels, Default: "0", Min: 0, Max: 10, Doc: "slots kept for urgent and lookup arrivals beyond their recent mean use, in square roots of that use"},
	{Name: "admission.team_burst", Kind: KindDuration, Levels: placeLevels, Default: `"20s"`, Min: 0, Max: hour, Doc: "what a team may use at once, as time at the rate of a team of weight 1"},
	{Name: "admission.safety", Kind: KindNumber, Levels: placeLevels, Default: "2", Min: 0.1, Max: 100, Doc: "factor on a predicted wait before it is compared with the deadline"},
	{Name: "retry.ratio", Kind: KindShare, Levels: placeLevels, Default: "0.1", Min: 0, Max: 1, Doc: "retries as a share of the successful requests"},
	{Name: "retry.minimum", Kind: KindInteger, Levels: placeLevels, Default: "40", Min: 40, Max: 1000, Doc: "retries that a quiet team or upstream may have saved; a VM needs 40 when a data centre is lost"},

	{Name: "outlier.consecutive_failures", Kind: KindInteger, Levels: placeLevels, Default: "3", Min: 1, Max: 1000, Doc: "failures in a row that eject an upstream"},
	{Name: "outlier.min_requests", Kind: KindInteger, Levels: placeLevels, Default: "20", Min: 1, Max: 1e6, Doc: "observed latencies before an upstream is compared with the median"},
	{Name: "outlier.slow_factor", Kind: KindNumber, Levels: placeLevels, Default: "3", Min: 1.1, Max: 100, Doc: "times slower than the median of its kind that counts as an outlier"},
	{Name: "outlier.ejection", Kind: KindDuration, Levels: placeLevels, Default: `"2s"`, Min: 100 * ms, Max: hour, Doc: "first ejection; each further one is longer"},
	{Name: "outlier.ejection_max", Kind: KindDuration, Levels: placeLevels, Default: `"2m"`, Min: 100 * ms, Max: 24 * hour, Doc: "longest ejection; not shorter than outlier.ejection"},
	{Name: "outlier.max_ejected", Kind: KindShare, Levels: placeLevels, Default: "0.5", Min: 0, Max: 1, Doc: "share of the upstreams of a kind that may be ejected at once"},
	{Name: "outlier.return_over", Kind: KindDuration, Levels: placeLevels, Default: `"10s"`, Min: 0, Max: hour, Doc: "time over which a returning upstream gets its full load"},

	{Name: "quarantine.suspicion", Kind: KindDuration, Levels: placeLevels, Default: `"5m"`, Min: sec, Max: 24 * hour, Doc: "how long a suspicion lasts after the latest crash"},
	{Name: "quarantine.duration", Kind: KindDuration, Levels: placeLevels, Default: `"10m"`, Min: sec, Max: 24 * hour, Doc: "how long a fingerprint is refused"},
	{Name: "quarantine.entries", Kind: KindInteger, Levels: placeLevels, Default: "4096", Min: 16, Max: 1e6, Doc: "most suspected fingerprints that a VM keeps"},

	{Name: "placement.read_back", Kind: KindDuration, Levels: placeLevels, Default: `"2s"`, Min: 500 * ms, Max: 5 * sec, Doc: "time between two comparisons of an engine with its order"},
	{Name: "placement.kv_reserve", Kind: KindShare, Levels: placesAnd(LevelUpstream), Default: "0.2", Min: 0, Max: 0.9, Doc: "share of an engine's memory kept for KV cache"},

	{Name: "rehearsal.allowed", Kind: KindBool, Levels: placeLevels, Default: "true", Doc: "whether faults may be rehearsed"},
	{Name: "rehearsal.max_duration", Kind: KindDuration, Levels: placeLevels, Default: `"15m"`, Min: sec, Max: 24 * hour, Doc: "longest rehearsal"},
	{Name: "rehearsal.max_upstreams", Kind: KindShare, Levels: placeLevels, Default: "0.34", Min: 0, Max: 1, Doc: "share of the upstreams that a rehearsal may fault"},
}

// rankDefaults are the defaults that differ by rank. The documented defaults of
// guaranteed_share sum to 80%; the remaining 20% of the capacity goes by rank.
var rankDefaults = map[string]map[string]string{
	"urgent":    {"default_deadline": `"30s"`, "guaranteed_share": "0.5", "admission.max_wait": `"900ms"`},
	"lookup":    {"default_deadline": `"2s"`, "guaranteed_share": "0.2", "admission.max_wait": `"800ms"`},
	"overnight": {"default_deadline": `"24h"`, "guaranteed_share": "0.1", "limits.queue": "200000"},
}

// The accepted values of an upstream's kind and fencing.
const (
	UpstreamKindEngine  = "engine"
	UpstreamKindService = "service"
	FencingEnforced     = "enforced"
	FencingIgnored      = "ignored"
)
