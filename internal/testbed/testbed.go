// Package testbed defines the configuration of a small deployment for the demo and for
// tests: stand-ins of the platform and the upstreams, entry VMs in three data centres, and
// a settings tree. It starts no processes.
package testbed

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/tokens"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Names and keys used in the deployment.
const (
	ModelID      = fleet.ModelID("kranz-70b")
	ModelVersion = "v1"
	ModelLayers  = 32
	TeamID       = fleet.TeamID("kranzhost")
	TeamKey      = "demo-team-key"
	OtherTeamKey = "demo-other-team-key"
	OperatorKey  = "demo-operator-key"

	region      = fleet.RegionID("ostschweiz")
	fleetSecret = "demo-fleet-secret-0123456789"
)

// engineMemory is enough for about 20 of the model's 32 layers with their KV caches, so that
// no engine can hold the whole model.
const engineMemory = 900 << 20

var (
	// dataCentres lists the data centres of the deployment.
	dataCentres = []fleet.DataCentreID{"gossau", "wil", "herisau"}
	// vmDataCentres lists the data centre of each of the four VMs.
	vmDataCentres = []fleet.DataCentreID{"gossau", "gossau", "wil", "herisau"}
)

// engineSpec describes one engine. Fast engines hold 16 layers, slow ones 8.
type engineSpec struct {
	dc     fleet.DataCentreID
	layers fleet.LayerRange
	fast   bool
}

// engineSpecs returns two chains of fast engines, in one data centre each, and a chain of
// slow engines in the third.
func engineSpecs() []engineSpec {
	var specs []engineSpec
	for _, dc := range dataCentres[:2] {
		for first := 0; first < ModelLayers; first += 16 {
			specs = append(specs, engineSpec{dc, fleet.LayerRange{First: first, End: first + 16}, true})
		}
	}
	for first := 0; first < ModelLayers; first += 8 {
		specs = append(specs, engineSpec{dataCentres[2], fleet.LayerRange{First: first, End: first + 8}, false})
	}
	return specs
}

// Deployment holds the configurations of all processes.
type Deployment struct {
	Standins standin.Config
	VMs      []config.Config
	// Spare is the configuration of an additional VM that joins later.
	Spare config.Config
	specs []engineSpec
}

// New returns a deployment on free loopback addresses. It does not reserve them: another
// process may bind one before the deployment starts.
func New() (*Deployment, error) {
	d := &Deployment{specs: engineSpecs()}
	nextAddress, err := freeAddresses(len(d.specs) + 2*len(vmDataCentres) + 10)
	if err != nil {
		return nil, err
	}
	d.defineStandins(nextAddress)
	d.defineVMs(nextAddress)
	return d, nil
}

func (d *Deployment) defineStandins(nextAddress func() string) {
	d.Standins = standin.Config{
		Control:     nextAddress(),
		Log:         &standin.LogConfig{ID: "log", Listen: nextAddress(), AppendsPerSecond: 300, Delay: standin.Duration(2 * time.Millisecond)},
		WeightStore: &standin.WeightStoreConfig{Listen: nextAddress(), BytesPerSecond: 1e9},
		VMList:      &standin.VMListConfig{Listen: nextAddress(), Lag: standin.Duration(5 * time.Second)},
	}
	for i, spec := range d.specs {
		step := 400 * time.Microsecond
		if spec.fast {
			step = 150 * time.Microsecond
		}
		d.Standins.Engines = append(d.Standins.Engines, standin.EngineConfig{
			ID: fmt.Sprintf("engine-%d", i+1), Listen: nextAddress(), Slots: 8,
			StepPerLayer: standin.Duration(step), StateLag: standin.Duration(300 * time.Millisecond),
			CacheEventLag: standin.Duration(300 * time.Millisecond), CacheEventGap: 20, WeightStore: d.Standins.WeightStore.Listen,
			Assignment: upstream.Assignment{Role: upstream.RoleServe, Model: ModelID, Version: ModelVersion, Layers: spec.layers},
		})
	}
	for i := range 3 {
		d.Standins.Services = append(d.Standins.Services, standin.ServiceConfig{
			ID: fmt.Sprintf("booking-%d", i+1), Listen: nextAddress(), Work: standin.Duration(5 * time.Millisecond), Slots: 32,
		})
	}
}

func (d *Deployment) defineVMs(nextAddress func() string) {
	for i, dc := range vmDataCentres {
		d.VMs = append(d.VMs, config.Config{
			VM: fleet.VMID(fmt.Sprintf("vm-%d", i+1)), Region: region, DataCentre: dc, Domain: "today",
			Address: nextAddress(), PeerAddress: nextAddress(), FleetSecret: fleetSecret,
			LogURL: "http://" + d.Standins.Log.Listen, WeightStoreURL: "http://" + d.Standins.WeightStore.Listen,
			VMListURL: "http://" + d.Standins.VMList.Listen, OperatorKeyHash: KeyHash(OperatorKey),
		})
	}
	for i := range d.VMs {
		for j := range d.VMs {
			if i != j {
				d.VMs[i].Seeds = append(d.VMs[i].Seeds, d.VMs[j].PeerAddress)
			}
		}
	}
	d.Spare = d.VMs[0]
	d.Spare.VM, d.Spare.Address, d.Spare.PeerAddress = "vm-spare", nextAddress(), nextAddress()
	d.Spare.Seeds = append([]string{d.VMs[0].PeerAddress}, d.VMs[0].Seeds...)
}

// Settings returns the settings tree as the JSON of a settings file.
func (d *Deployment) Settings() ([]byte, error) {
	services := []string{}
	tree := map[string]any{
		"fleet": map[string]any{
			"operators": map[string]any{"key_hashes": []string{KeyHash(OperatorKey)}},
			"address":   map[string]any{"valid_for": "2s"},
			"outlier":   map[string]any{"ejection": "1s", "return_over": "1s"},
		},
		"model/" + string(ModelID):       map[string]any{"layers": ModelLayers, "version": ModelVersion, "bytes_per_layer": 1 << 20},
		"team/" + string(TeamID):         map[string]any{"key_hashes": []string{KeyHash(TeamKey)}, "default_rank": "urgent"},
		"team/other":                     map[string]any{"key_hashes": []string{KeyHash(OtherTeamKey)}},
		"rank/urgent":                    map[string]any{"default_deadline": "30s"},
		"team/other/rank/overnight":      map[string]any{"limits": map[string]any{"max_tokens": 512}},
		"fleet/region/" + string(region): map[string]any{},
	}
	for _, dc := range dataCentres {
		tree["fleet/region/"+string(region)+"/dc/"+string(dc)] = map[string]any{}
	}
	for i, e := range d.Standins.Engines {
		tree["upstream/"+e.ID] = d.engineSettings(i, e)
	}
	for _, s := range d.Standins.Services {
		services = append(services, s.ID)
		tree["upstream/"+s.ID] = map[string]any{"kind": "service", "address": s.Listen, "data_centre": dataCentres[0]}
	}
	tree["route/booking"] = map[string]any{"path": "/booking", "repeatable": false, "upstreams": services}
	tree["route/stock"] = map[string]any{"path": "/stock", "repeatable": true, "upstreams": services}
	return json.Marshal(tree)
}

func (d *Deployment) engineSettings(i int, e standin.EngineConfig) map[string]any {
	speed := 1.0
	if !d.specs[i].fast {
		speed = 0.4
	}
	return map[string]any{
		"kind": "engine", "address": e.Listen, "data_centre": d.specs[i].dc, "speed": speed,
		"memory_bytes": engineMemory, "slots": e.Slots, "fencing": "enforced",
	}
}

// KeyHash returns the hash by which the settings identify a key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ChatBody returns the body of a chat completions request with one user message and at most
// limit tokens in the answer.
func ChatBody(prompt string, limit int, stream bool) map[string]any {
	return map[string]any{
		"model": ModelID, "stream": stream, "max_tokens": limit,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	}
}

// ExpectedText returns the correct answer to the request of ChatBody, computed without a
// chain of stages.
func ExpectedText(prompt string, limit int) string {
	text := fmt.Sprintf("<|user|>%s\n<|assistant|>", prompt)
	t := tokens.ByteLevel{}
	return tokens.DecodeAll(t, standin.ExpectedTokens(ModelID, ModelVersion, "", ModelLayers, t.Encode(text), limit))
}

// freeAddresses finds n free loopback addresses and returns a function that returns each of
// them once.
func freeAddresses(n int) (func() string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}, nil
}
