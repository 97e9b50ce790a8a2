package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cornelline/cornelline/internal/testbed"
)

// cluster manages the processes of the demo: the stand-ins and the entry VMs.
type cluster struct {
	*testbed.Deployment
	bin       string
	dir       string
	processes []*exec.Cmd
}

// newCluster selects free addresses and creates a directory for configuration and logs.
func newCluster(bin string) (*cluster, error) {
	deployment, err := testbed.New()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cornelline-demo-")
	if err != nil {
		return nil, fmt.Errorf("create the directory for configuration and logs: %w", err)
	}
	return &cluster{Deployment: deployment, bin: bin, dir: dir}, nil
}

// start starts the stand-ins and then the entry VMs, and waits until all are ready.
func (c *cluster) start(ctx context.Context) error {
	if err := c.startProgram("standin", c.Standins, "--config"); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+c.Standins.Log.Listen+"/v1/streams/settings/records?from=1&max=1"); err != nil {
		return err
	}
	for _, vm := range c.VMs {
		if err := c.startProgram("cornelline", vm, "serve", "--config"); err != nil {
			return err
		}
	}
	for _, vm := range c.VMs {
		if err := waitFor(ctx, "http://"+vm.Address+"/readyz"); err != nil {
			return err
		}
	}
	fmt.Printf("%d engines, %d service servers, %d entry VMs in 3 data centres\n", len(c.Standins.Engines), len(c.Standins.Services), len(c.VMs))
	return nil
}

// startProgram writes a configuration file and starts a program with it.
func (c *cluster) startProgram(program string, cfg any, args ...string) error {
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

// process returns the process of entry VM i. Process 0 runs the stand-ins.
func (c *cluster) process(i int) *exec.Cmd { return c.processes[i+1] }

// stop sends SIGTERM to the running processes, the entry VMs first, and waits for them. It
// removes the directory unless a process failed to stop.
func (c *cluster) stop() error {
	var stopErr error
	for i := len(c.processes) - 1; i >= 0; i-- {
		cmd := c.processes[i]
		if cmd.ProcessState != nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	for i := len(c.processes) - 1; i >= 0; i-- {
		if c.processes[i].ProcessState == nil {
			stopErr = errors.Join(stopErr, waitOrKill(c.processes[i]))
		}
	}
	if stopErr != nil {
		fmt.Fprintln(os.Stderr, "logs are kept in", c.dir)
		return stopErr
	}
	return os.RemoveAll(c.dir)
}

// waitOrKill waits for a process that has received SIGTERM, and kills it after
// stopTimeout. It returns an error if the process was killed or failed.
func waitOrKill(cmd *exec.Cmd) error {
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	if err := cmd.Wait(); err != nil {
		return fmt.Errorf("%s did not stop gracefully: %w", cmd.Path, err)
	}
	return nil
}

// stopTimeout exceeds the drain time of the demo, which consists of 2 s of address
// validity, 2 s of safety margin, and the longest generation.
const stopTimeout = 20 * time.Second

// waitFor polls a URL until it answers with status 200.
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
			return fmt.Errorf("%s did not answer with status 200: %w", url, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}
