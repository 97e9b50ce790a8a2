//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is an entry VM: one process of the program under test.
type vm struct {
	name, ip, zone            string
	front, ready, directory   string
	settings                  string
	log                       *os.File
	mu                        sync.Mutex
	process                   *exec.Cmd
	exited                    chan struct{}
	memoryMB, fileDescriptors int
}

// settingsText is the settings file of a VM: a front machine of kranzhost.toml.
const settingsText = `node_name: %[1]q
role: "entry"
machine_class: "front"
serves: ["front", "directory", "control"]
ip: %[2]q
zone: %[3]q
region: "r"
zones: {a: "r", b: "r", c: "r"}
listen:
  front: "%[2]s:%[4]d"
  ready: "%[2]s:%[5]d"
  control: "%[2]s:%[6]d"
  directory: "%[2]s:%[7]d"
internal_ports: [%[8]d, %[8]d]
seeds: [%[9]s]
first_start: %[10]t
counts_as_loss: true
limits: {cpu_share: 0.8, cores: 1, memory_mb: %[12]d, file_descriptors: %[13]d, link_mbps: 2000.0, disk_mb: 0}
data_directory: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, settle_window_ms: 3000, acknowledge_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, strict_revocation: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 202, recovery_s: 12, pass_ms: 120, retry_after_s: 0, stall_ms: 3000, fencing_required: true, ttl_max_s: 5}
platform: {address: %[11]q, form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 12, append_ms: 2.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, partition_mb: 200, min_ttl_ms: 1000}
`

// vmIP returns a loopback address of this process's own.
func vmIP(index int) string {
	n := os.Getpid() % 50_000
	return fmt.Sprintf("127.%d.%d.%d", 10+n/250, 1+n%250, 10+index)
}

// freePorts returns n ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newVMs writes the settings of count VMs in three zones.
func newVMs(dir string, count int, store string, memoryMB, fileDescriptors int) ([]*vm, error) {
	ports, err := freePorts(vmIP(0), 5)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", vmIP(i), ports[2])))
	}
	var vms []*vm
	for i := range count {
		ip := vmIP(i)
		v := &vm{
			name: fmt.Sprintf("front-%d", i+1), ip: ip, zone: string(rune('a' + i%3)), front: fmt.Sprintf("%s:%d", ip, ports[0]),
			ready: fmt.Sprintf("%s:%d", ip, ports[1]), directory: fmt.Sprintf("%s:%d", ip, ports[3]),
			settings: filepath.Join(dir, fmt.Sprintf("front-%d.yaml", i+1)), memoryMB: memoryMB, fileDescriptors: fileDescriptors,
		}
		text := func(first bool) string {
			return fmt.Sprintf(settingsText, v.name, ip, v.zone, ports[0], ports[1], ports[2], ports[3], ports[4], strings.Join(seeds, ", "), first, store, memoryMB, fileDescriptors)
		}
		if err := os.WriteFile(v.settings, []byte(text(true)), 0o600); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		time.AfterFunc(3*time.Second, func() { _ = os.WriteFile(v.settings, []byte(text(false)), 0o600) })
		if v.log, err = os.Create(filepath.Join(dir, v.name+".log")); err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
		vms = append(vms, v)
	}
	return vms, nil
}

// program is the command of the role in deploy/system.toml.
var program = []string{"target/cornelline", "gateway"}

// start starts the process.
func (v *vm) start() error {
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CORNELLINE_NODE_FILE=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended doesn't matter
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil && v.process.Process != nil {
		_ = v.process.Process.Signal(s) // the process may have ended
	}
}

// pid returns the process ID, or 0 before the start.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.Process == nil {
		return 0
	}
	return v.process.Process.Pid
}

// stop kills the process and waits for its end.
func (v *vm) stop() {
	if v.pid() == 0 {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.exited
}
