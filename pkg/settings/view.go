package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// View holds the values in force for one scope. It is shared between callers and
// must not be changed.
type View struct {
	Limits     Limits
	Address    Address
	Drain      Drain
	Claims     Claims
	Log        Log
	Rank       Rank
	Overnight  Overnight
	Operators  Operators
	Team       Team
	Model      Model
	Route      Route
	Upstream   Upstream
	Upstreams  Upstreams
	Admission  Admission
	Retry      Retry
	Outlier    Outlier
	Quarantine Quarantine
	Placement  Placement
	Rehearsal  Rehearsal
	// Links holds the links from the scope's data centre, by the data centre that
	// they lead to.
	Links map[fleet.DataCentreID]Link
}

// Limits bounds the size of a request and the length of a queue. Sizes are in bytes.
type Limits struct {
	BodyBytes int64 `setting:"limits.body_bytes"`
	Queue     int64 `setting:"limits.queue"`
	MaxTokens int64 `setting:"limits.max_tokens"`
}

// Address sets how long callers may cache an address.
type Address struct {
	ValidFor time.Duration `setting:"address.valid_for"`
}

// Drain bounds the drain before a planned stop.
type Drain struct {
	Max time.Duration `setting:"drain.max"`
}

// Claims holds the parameters of claims and of appends to the log.
type Claims struct {
	Window        time.Duration `setting:"claims.window"`
	BatchInterval time.Duration `setting:"claims.batch_interval"`
	BatchRecords  int64         `setting:"claims.batch_records"`
}

// Log holds the parameters of the platform's log.
type Log struct {
	Retention time.Duration `setting:"log.retention"`
	Poll      time.Duration `setting:"log.poll"`
}

// Rank holds the settings of a rank.
type Rank struct {
	DefaultDeadline time.Duration `setting:"default_deadline"`
	GuaranteedShare float64       `setting:"guaranteed_share"`
}

// Overnight says when overnight work is due.
type Overnight struct {
	// Dawn is the time of day by which the work must be done, as HH:MM in the time
	// zone that UTCOffset gives.
	Dawn      string        `setting:"overnight.dawn"`
	UTCOffset time.Duration `setting:"overnight.utc_offset"`
}

// Operators holds the hashes of the operators' keys.
type Operators struct {
	KeyHashes []string `setting:"operators.key_hashes"`
}

// Team describes a team.
type Team struct {
	KeyHashes     []string   `setting:"key_hashes"`
	Weight        float64    `setting:"weight"`
	DefaultRank   fleet.Rank `setting:"default_rank"`
	AllowedModels []string   `setting:"allowed_models"`
}

// Model describes a model. Sizes are in bytes.
type Model struct {
	Layers               int64    `setting:"layers"`
	Version              string   `setting:"version"`
	Adapters             []string `setting:"adapters"`
	BytesPerLayer        int64    `setting:"bytes_per_layer"`
	KVBytesPerTokenLayer int64    `setting:"kv_bytes_per_token_layer"`
}

// Route describes a route to a plain service.
type Route struct {
	Path       string        `setting:"path"`
	Upstreams  []string      `setting:"upstreams"`
	Repeatable bool          `setting:"repeatable"`
	Timeout    time.Duration `setting:"timeout"`
}

// Upstream describes an upstream.
type Upstream struct {
	Address     string  `setting:"address"`
	Kind        string  `setting:"kind"`
	DataCentre  string  `setting:"data_centre"`
	Fencing     string  `setting:"fencing"`
	Accelerator string  `setting:"accelerator"`
	MemoryBytes int64   `setting:"memory_bytes"`
	Speed       float64 `setting:"speed"`
	Slots       int64   `setting:"slots"`
}

// Upstreams holds the parameters of the connections to upstreams.
type Upstreams struct {
	Silence        time.Duration `setting:"upstreams.silence"`
	ConnectTimeout time.Duration `setting:"upstreams.connect_timeout"`
	StatePoll      time.Duration `setting:"upstreams.state_poll"`
}

// Link describes the link from one data centre to another.
type Link struct {
	Latency        time.Duration
	BytesPerSecond int64
}

// Admission holds the parameters of admission.
type Admission struct {
	MaxWait   time.Duration `setting:"admission.max_wait"`
	Depth     float64       `setting:"admission.depth"`
	Headroom  float64       `setting:"admission.headroom"`
	TeamBurst time.Duration `setting:"admission.team_burst"`
	Safety    float64       `setting:"admission.safety"`
}

// Retry holds the retry budget.
type Retry struct {
	Ratio   float64 `setting:"retry.ratio"`
	Minimum int64   `setting:"retry.minimum"`
}

// Outlier holds the parameters of outlier detection.
type Outlier struct {
	ConsecutiveFailures int64         `setting:"outlier.consecutive_failures"`
	MinRequests         int64         `setting:"outlier.min_requests"`
	SlowFactor          float64       `setting:"outlier.slow_factor"`
	Ejection            time.Duration `setting:"outlier.ejection"`
	EjectionMax         time.Duration `setting:"outlier.ejection_max"`
	MaxEjected          float64       `setting:"outlier.max_ejected"`
	ReturnOver          time.Duration `setting:"outlier.return_over"`
}

// Quarantine holds the parameters for requests suspected of crashing upstreams.
type Quarantine struct {
	Suspicion time.Duration `setting:"quarantine.suspicion"`
	Duration  time.Duration `setting:"quarantine.duration"`
	Entries   int64         `setting:"quarantine.entries"`
}

// Placement holds the parameters of layer placement.
type Placement struct {
	ReadBack  time.Duration `setting:"placement.read_back"`
	KVReserve float64       `setting:"placement.kv_reserve"`
}

// Rehearsal bounds the faults that operators inject in rehearsals.
type Rehearsal struct {
	Allowed      bool          `setting:"rehearsal.allowed"`
	MaxDuration  time.Duration `setting:"rehearsal.max_duration"`
	MaxUpstreams float64       `setting:"rehearsal.max_upstreams"`
}

// viewFields maps the name of a setting to the index path of its field in View.
var viewFields = func() map[string][]int {
	fields := map[string][]int{}
	view := reflect.TypeFor[View]()
	for i := range view.NumField() {
		group := view.Field(i).Type
		for j := 0; group.Kind() == reflect.Struct && j < group.NumField(); j++ {
			fields[group.Field(j).Tag.Get("setting")] = []int{i, j}
		}
	}
	return fields
}()

// parseDefault parses the JSON text of a default. An invalid default is a
// programming error and panics.
func parseDefault(def *Definition, text string) any {
	dec := json.NewDecoder(strings.NewReader(text))
	dec.UseNumber()
	var raw any
	err := dec.Decode(&raw)
	if err == nil {
		raw, err = def.parse(raw)
	}
	if err != nil {
		panic(fmt.Sprintf("default of setting %s: %v", def.Name, err))
	}
	return raw
}

// defaultValues are the parsed defaults by rank. The empty rank holds the defaults
// that all ranks have in common.
var defaultValues = func() map[string]values {
	byRank := map[string]values{"": {}}
	for i := range Definitions {
		if def := &Definitions[i]; def.Default != "" {
			byRank[""][def.Name] = parseDefault(def, def.Default)
		}
	}
	for rank, texts := range rankDefaults {
		byRank[rank] = values{}
		for name, text := range texts {
			byRank[rank][name] = parseDefault(definitionsByName[name], text)
		}
	}
	return byRank
}()

// set stores the values in the fields of the view.
func (v *View) set(vals values) {
	target := reflect.ValueOf(v).Elem()
	for name, value := range vals {
		if index, ok := viewFields[name]; ok {
			target.FieldByIndex(index).Set(reflect.ValueOf(value))
			continue
		}
		v.setLink(name, value)
	}
}

// setLink stores a value of a links.* setting and ignores other names.
func (v *View) setLink(name string, value any) {
	parts := strings.Split(name, ".")
	if len(parts) != 3 || parts[0] != "links" || parts[1] == "*" {
		return
	}
	dc := fleet.DataCentreID(parts[1])
	link, ok := v.Links[dc]
	if !ok {
		link.Latency, _ = defaultValues[""]["links.*.latency"].(time.Duration)
		link.BytesPerSecond, _ = defaultValues[""]["links.*.bytes_per_second"].(int64)
	}
	switch x := value.(type) {
	case time.Duration:
		link.Latency = x
	case int64:
		link.BytesPerSecond = x
	}
	if v.Links == nil {
		v.Links = map[fleet.DataCentreID]Link{}
	}
	v.Links[dc] = link
}
