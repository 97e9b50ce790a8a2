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

// cluster is the set of processes of the demo.
type cluster struct {
	*testbed.Deployment
	bin       string
	dir       string
	processes []*exec.Cmd
}

// newCluster chooses free addresses and a folder for configuration and logs.
func newCluster(bin string) (*cluster, error) {
	deployment, err := testbed.New()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cornelline-demo-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	return &cluster{Deployment: deployment, bin: bin, dir: dir}, nil
}

// start runs the stand-ins, then the entry VMs, and waits until all are ready.
func (c *cluster) start(ctx context.Context) error {
	if err := c.launch("standin", c.Standins, "--config"); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+c.Standins.Log.Listen+"/v1/streams/settings/records?from=1&max=1"); err != nil {
		return err
	}
	for _, vm := range c.VMs {
		if err := c.launch("cornelline", vm, "serve", "--config"); err != nil {
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
