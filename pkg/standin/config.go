// Package standin implements stand-ins of the platform's services and of the upstreams:
// model engines, plain services, the log, the weight store and the VM list. They speak
// the published protocols, make no decisions of their own, and accept fault injection
// over HTTP. Each is an http.Handler.
package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
)

// Config lists the stand-ins of one process.
type Config struct {
	// Control is the address that serves the faults of all stand-ins at /faults/{id}, also
	// those of crashed ones.
	Control     string             `json:"control"`
	Engines     []EngineConfig     `json:"engines"`
	Services    []ServiceConfig    `json:"services"`
	Log         *LogConfig         `json:"log"`
	WeightStore *WeightStoreConfig `json:"weight_store"`
	VMList      *VMListConfig      `json:"vm_list"`
}

// ReadConfig reads a configuration file. Unknown field names are an error.
func ReadConfig(path string) (Config, error) {
	var config Config
	data, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("read configuration: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&config); err != nil {
		return config, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// Group is a set of running stand-ins.
type Group struct {
	// StandIns holds the stand-ins by ID.
	StandIns map[string]StandIn
	servers  []*Server
	control  *http.Server
}

// Start starts all stand-ins of the configuration. Engines call each other and the weight
// store with the client; nil means http.DefaultClient.
func Start(config Config, listen ListenFunc, client *http.Client) (*Group, error) {
	g := &Group{StandIns: map[string]StandIn{}}
	for _, p := range newStandIns(config, client) {
		if err := g.add(p.standIn, p.address, listen); err != nil {
			g.Close()
			return nil, err
		}
	}
	if err := g.openControl(config.Control, listen); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// boundStandIn is a stand-in with its listen address.
type boundStandIn struct {
	standIn StandIn
	address string
}

// newStandIns creates the stand-ins of the configuration.
func newStandIns(config Config, client *http.Client) []boundStandIn {
	var all []boundStandIn
	for _, c := range config.Engines {
		if c.WeightStore == "" && config.WeightStore != nil {
			c.WeightStore = config.WeightStore.Listen
		}
		all = append(all, boundStandIn{NewEngine(c, client), c.Listen})
	}
	for _, c := range config.Services {
		all = append(all, boundStandIn{NewService(c), c.Listen})
	}
	if c := config.Log; c != nil {
		all = append(all, boundStandIn{NewLog(*c), c.Listen})
	}
	if c := config.WeightStore; c != nil {
		all = append(all, boundStandIn{NewWeightStore(*c), c.Listen})
	}
	if c := config.VMList; c != nil {
		all = append(all, boundStandIn{NewVMList(*c), c.Listen})
	}
	return all
}

// add serves a stand-in and adds it to the group.
func (g *Group) add(standIn StandIn, address string, listen ListenFunc) error {
	if standIn.ID() == "" || g.StandIns[standIn.ID()] != nil {
		return fmt.Errorf("stand-in id %q is empty or used twice", standIn.ID())
	}
	server, err := NewServer(standIn, address, listen)
	if err != nil {
		return err
	}
	g.StandIns[standIn.ID()] = standIn
	g.servers = append(g.servers, server)
	return nil
}

// openControl serves the control address, if one is configured.
func (g *Group) openControl(address string, listen ListenFunc) error {
	if address == "" {
		return nil
	}
	listener, err := listen(address)
	if err != nil {
		return fmt.Errorf("control address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(PathFaults+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		standIn := g.StandIns[r.PathValue("id")]
		if standIn == nil {
			http.NotFound(w, r)
			return
		}
		standIn.base().serveFaults(w, r)
	})
	g.control = &http.Server{Handler: mux}
	go func() { _ = g.control.Serve(listener) }()
	return nil
}

// Close stops the control server and all stand-ins.
func (g *Group) Close() {
	if g.control != nil {
		_ = g.control.Close()
	}
	for _, s := range g.servers {
		s.Close()
	}
}
