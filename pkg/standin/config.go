// Package standin holds stand-ins of the platform's services and of the
// upstreams: model engines, plain services, the log, the weight store and the VM
// list. They follow the published protocols, decide nothing themselves, and take
// faults over HTTP. All are http.Handler values.
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
	// Control is the address that takes faults for all stand-ins, also crashed ones, at /faults/{id}.
	Control     string             `json:"control"`
	Engines     []EngineConfig     `json:"engines"`
	Services    []ServiceConfig    `json:"services"`
	Log         *LogConfig         `json:"log"`
	WeightStore *WeightStoreConfig `json:"weight_store"`
	VMList      *VMListConfig      `json:"vm_list"`
}

// ReadConfig reads a configuration file and refuses unknown names.
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
	// Parts holds the stand-ins by id.
	Parts   map[string]Part
	servers []*Server
	control *http.Server
}

// Start starts all stand-ins of the configuration. The client is what engines
// reach each other and the weight store with; nil means http.DefaultClient.
func Start(config Config, listen Listen, client *http.Client) (*Group, error) {
	g := &Group{Parts: map[string]Part{}}
	for _, p := range parts(config, client) {
		if err := g.add(p.part, p.address, listen); err != nil {
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

// placed is a stand-in with its listen address.
type placed struct {
	part    Part
	address string
}

// parts builds the stand-ins of the configuration.
func parts(config Config, client *http.Client) []placed {
	var all []placed
	for _, c := range config.Engines {
		if c.WeightStore == "" && config.WeightStore != nil {
			c.WeightStore = config.WeightStore.Listen
		}
		all = append(all, placed{NewEngine(c, client), c.Listen})
	}
	for _, c := range config.Services {
		all = append(all, placed{NewService(c), c.Listen})
	}
	if c := config.Log; c != nil {
		all = append(all, placed{NewLog(*c), c.Listen})
	}
	if c := config.WeightStore; c != nil {
		all = append(all, placed{NewWeightStore(*c), c.Listen})
	}
	if c := config.VMList; c != nil {
		all = append(all, placed{NewVMList(*c), c.Listen})
	}
	return all
}

// add serves one stand-in.
func (g *Group) add(p Part, address string, listen Listen) error {
	if p.ID() == "" || g.Parts[p.ID()] != nil {
		return fmt.Errorf("stand-in id %q is empty or used twice", p.ID())
	}
	server, err := NewServer(p, address, listen)
	if err != nil {
		return err
	}
	g.Parts[p.ID()] = p
	g.servers = append(g.servers, server)
	return nil
}

// openControl serves the faults of all stand-ins, also of crashed ones.
func (g *Group) openControl(address string, listen Listen) error {
	if address == "" {
		return nil
	}
	listener, err := listen(address)
	if err != nil {
		return fmt.Errorf("control address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(PathFaults+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		part := g.Parts[r.PathValue("id")]
		if part == nil {
			http.NotFound(w, r)
			return
		}
		part.base().serveFaults(w, r)
	})
	g.control = &http.Server{Handler: mux}
	go func() { _ = g.control.Serve(listener) }()
	return nil
}

// Close ends all stand-ins.
func (g *Group) Close() {
	if g.control != nil {
		_ = g.control.Close()
	}
	for _, s := range g.servers {
		s.Close()
	}
}
