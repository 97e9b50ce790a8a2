package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Names and keys of the demo.
const (
	modelID      = fleet.ModelID("kranz-70b")
	modelVersion = "v1"
	modelLayers  = 32
	operatorKey  = "demo-operator-key"
	teamKey      = "demo-team-key"
	teamID       = "kranzhost"
	fleetSecret  = "demo-fleet-secret-0123456789"
	region       = fleet.RegionID("ostschweiz")
)

// vmDataCentres places the four entry VMs.
var vmDataCentres = []fleet.DataCentreID{"gossau", "gossau", "wil", "herisau"}

// engineSpec is one engine of the demo. Fast engines hold 16 layers, slow ones 8.
type engineSpec struct {
	dc     fleet.DataCentreID
	layers fleet.LayerRange
	fast   bool
}

func engineSpecs() []engineSpec {
	var specs []engineSpec
	for _, dc := range []fleet.DataCentreID{"gossau", "wil"} {
		for first := 0; first < modelLayers; first += 16 {
			specs = append(specs, engineSpec{dc, fleet.LayerRange{First: first, End: first + 16}, true})
		}
	}
	for first := 0; first < modelLayers; first += 8 {
		specs = append(specs, engineSpec{"herisau", fleet.LayerRange{First: first, End: first + 8}, false})
	}
	return specs
}

// cluster is the set of processes of the demo.
type cluster struct {
	bin       string
	dir       string
	standins  standin.Config
	specs     []engineSpec
	vms       []config.Config
	processes []*exec.Cmd
}

// newCluster chooses free addresses and writes the configuration files.
func newCluster(bin string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "cornelline-demo-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	c := &cluster{bin: bin, dir: dir, specs: engineSpecs()}
	addresses, err := freeAddresses(64)
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	c.defineStandins(next)
	c.defineVMs(next)
	return c, nil
}

func (c *cluster) defineStandins(next func() string) {
	c.standins = standin.Config{
		Control:     next(),
		Log:         &standin.LogConfig{Listen: next(), AppendsPerSecond: 300, Delay: standin.Duration(2 * time.Millisecond)},
		WeightStore: &standin.WeightStoreConfig{Listen: next(), BytesPerSecond: 1e9},
		VMList:      &standin.VMListConfig{Listen: next(), Lag: standin.Duration(5 * time.Second)},
	}
	for i, spec := range c.specs {
		step := 400 * time.Microsecond
		if spec.fast {
			step = 150 * time.Microsecond
		}
		c.standins.Engines = append(c.standins.Engines, standin.EngineConfig{
			ID: fmt.Sprintf("engine-%d", i+1), Listen: next(), Slots: 8,
			StepPerLayer: standin.Duration(step), StateLag: standin.Duration(300 * time.Millisecond),
			CacheEventLag: standin.Duration(300 * time.Millisecond), CacheEventGap: 20, WeightStore: c.standins.WeightStore.Listen,
			Assignment: upstream.Assignment{Role: upstream.RoleServe, Model: modelID, Version: modelVersion, Layers: spec.layers},
		})
	}
	for i := range 3 {
		c.standins.Services = append(c.standins.Services, standin.ServiceConfig{
			ID: fmt.Sprintf("booking-%d", i+1), Listen: next(), Work: standin.Duration(5 * time.Millisecond), Slots: 32,
		})
	}
}

func (c *cluster) defineVMs(next func() string) {
	for i, dc := range vmDataCentres {
		c.vms = append(c.vms, config.Config{
			VM: fleet.VMID(fmt.Sprintf("vm-%d", i+1)), Region: region, DataCentre: dc,
			Address: next(), PeerAddress: next(), FleetSecret: fleetSecret,
			LogURL: "http://" + c.standins.Log.Listen, WeightStoreURL: "http://" + c.standins.WeightStore.Listen,
			VMListURL: "http://" + c.standins.VMList.Listen, OperatorKeyHash: hash(operatorKey),
		})
	}
	for i := range c.vms {
		for j := range c.vms {
			if i != j {
				c.vms[i].Seeds = append(c.vms[i].Seeds, c.vms[j].PeerAddress)
			}
		}
	}
}

// start runs the stand-ins, then the entry VMs, and waits until all are ready.
func (c *cluster) start(ctx context.Context) error {
	if err := c.launch("standin", c.standins, "--config"); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+c.standins.Log.Listen+"/v1/streams/settings/records?from=1&max=1"); err != nil {
		return err
	}
	for _, vm := range c.vms {
		if err := c.launch("cornelline", vm, "serve", "--config"); err != nil {
			return err
		}
	}
	for _, vm := range c.vms {
		if err := waitFor(ctx, "http://"+vm.Address+"/readyz"); err != nil {
			return err
		}
	}
	fmt.Printf("%d engines, %d service servers, %d entry VMs in 3 data centres\n", len(c.standins.Engines), len(c.standins.Services), len(c.vms))
	return nil
}

// launch writes a configuration file and starts a program with it.
func (c *cluster) launch(program string, cfg any, args ...string) error {
	name := fmt.Sprintf("%s-%d", program, len(c.processes))
	path := filepath.Join(c.dir, name+".json")
	data, err := json.Marshal(cfg)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return fmt.Errorf("create log file: %w", err)
	}
	cmd := exec.Command(filepath.Join(c.bin, program), append(args, path)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", program, err)
	}
	c.processes = append(c.processes, cmd)
	return nil
}

// process returns the process of the i-th entry VM.
func (c *cluster) process(i int) *exec.Cmd { return c.processes[i+1] }

// stop ends the entry VMs, then the stand-ins, and keeps the logs after a failure.
func (c *cluster) stop() error {
	var failed error
	for i := len(c.processes) - 1; i >= 0; i-- {
		cmd := c.processes[i]
		if cmd.ProcessState != nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	for i := len(c.processes) - 1; i >= 0; i-- {
		if c.processes[i].ProcessState == nil {
			failed = errors.Join(failed, waitOrKill(c.processes[i]))
		}
	}
	if failed != nil {
		fmt.Fprintln(os.Stderr, "logs are kept in", c.dir)
		return failed
	}
	return os.RemoveAll(c.dir)
}

// waitOrKill waits for a process that was told to stop and kills it when it
// does not end in time, which is an error.
func waitOrKill(cmd *exec.Cmd) error {
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	if err := cmd.Wait(); err != nil {
		return fmt.Errorf("%s did not stop gracefully: %w", cmd.Path, err)
	}
	return nil
}

// stopTimeout is well above the drain of the demo: 2 s of address validity, 2 s
// of margin and the longest generation.
const stopTimeout = 20 * time.Second

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// waitFor polls a URL until it answers with success.
func waitFor(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not answer: %w", url, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}
