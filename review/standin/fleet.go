//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// graceTime is grace_s of the settings.
const graceTime = 8 * time.Second

// restartDelay is the pause after which the platform starts an ended process again.
const restartDelay = 1000 * time.Millisecond

// settingsText is a VM's settings file, with the figures of the Kranzhost site.
const settingsText = `node_name: %[1]q
role: "entry"
machine_class: "front"
serves: ["front", "directory", "control"]
ip: %[2]q
zone: %[3]q
region: "ostschweiz"
zones: {ost-a: "ostschweiz", ost-b: "ostschweiz", ost-c: "ostschweiz"}
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d", control: "%[2]s:%[6]d", directory: "%[2]s:%[7]d"}
internal_ports: [%[8]d, %[9]d]
seeds: [%[10]s]
first_start: %[11]t
counts_as_loss: false
limits: {cpu_share: 0.8, cores: 1, memory_mb: %[13]d, file_descriptors: 8200, link_mbps: 2000.0, disk_mb: 0}
data_directory: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, settle_window_ms: 3000, acknowledge_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, strict_revocation: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 202, recovery_s: 12, pass_ms: 120, retry_after_s: 0, stall_ms: 3000, fencing_required: true, ttl_max_s: 5}
platform: {address: %[12]q, form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 12, append_ms: 2.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, partition_mb: 200, min_ttl_ms: 1000}
`

// zones are the zones of the VMs and servers.
var zones = []string{"ost-a", "ost-b", "ost-c"}

// vm is an entry VM: a process of the program under test that the platform starts again.
type vm struct {
	name, zone, ip string
	ports          []int
	settings       string
	memoryMB       int
	logPath        string
	rec            *recorder

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ends    int // times that the process ended
	memEnds int // times that it was ended because of its memory
	peakMB  int
	started time.Time
	done    chan struct{}
	write   func(first bool) error
}

func (v *vm) front() string     { return fmt.Sprintf("%s:%d", v.ip, v.ports[0]) }
func (v *vm) ready() string     { return fmt.Sprintf("%s:%d", v.ip, v.ports[1]) }
func (v *vm) directory() string { return fmt.Sprintf("%s:%d", v.ip, v.ports[3]) }

// loopbackIP returns a loopback address that depends on this process.
func loopbackIP(index int) string {
	n := os.Getpid() % 50000
	return fmt.Sprintf("127.%d.%d.%d", 10+n/250, 1+n%250, 1+index)
}

func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newFleet prepares the VMs; start starts their processes. storeAddress returns the address at
// which a VM reaches the store.
func newFleet(dir string, count, memoryMB int, storeAddress func(i int) string, rec *recorder) ([]*vm, error) {
	ports, err := freePorts(loopbackIP(0), 5)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", loopbackIP(i), ports[2])))
	}
	var list []*vm
	for i := range count {
		v := &vm{name: fmt.Sprintf("front-%d", i), zone: zones[i%len(zones)], ip: loopbackIP(i), ports: ports, memoryMB: memoryMB, rec: rec, done: make(chan struct{})}
		v.settings = filepath.Join(dir, v.name+".yaml")
		v.logPath = filepath.Join(dir, v.name+".log")
		v.write = func(first bool) error {
			text := fmt.Sprintf(settingsText, v.name, v.ip, v.zone, ports[0], ports[1], ports[2], ports[3], ports[4], ports[4], strings.Join(seeds, ", "), first, storeAddress(i), memoryMB)
			return os.WriteFile(v.settings, []byte(text), 0o600)
		}
		if err := v.write(true); err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

// run starts the process, and starts it again after each end, until stop is called.
func (v *vm) run() {
	defer close(v.done)
	log, err := os.Create(v.logPath)
	if err != nil {
		return
	}
	defer log.Close()
	for first := true; ; first = false {
		cmd := exec.Command("target/cornelline", "gateway")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORNELLINE_NODE_FILE=" + v.settings}
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this driver
		v.mu.Lock()
		if v.stopped {
			v.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			v.mu.Unlock()
			v.rec.log("%s does not start: %v", v.name, err)
			return
		}
		v.cmd, v.started = cmd, time.Now()
		v.mu.Unlock()
		if first {
			time.AfterFunc(3*time.Second, func() { _ = v.write(false) })
		}
		ended := make(chan struct{})
		if v.memoryMB > 0 {
			go v.watchMemory(cmd, ended)
		}
		err := cmd.Wait()
		close(ended)
		v.mu.Lock()
		v.cmd = nil
		stopped := v.stopped
		if !stopped {
			v.ends++
		}
		v.mu.Unlock()
		if stopped {
			return
		}
		v.rec.log("%s: process ended: %v", v.name, err)
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process once its resident memory exceeds memory_mb, as the platform does.
func (v *vm) watchMemory(cmd *exec.Cmd, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := residentMB(cmd.Process.Pid)
		v.mu.Lock()
		v.peakMB = max(v.peakMB, mb)
		v.mu.Unlock()
		if mb > v.memoryMB {
			v.rec.log("%s: killed at %d MB of resident memory, memory_mb is %d", v.name, mb, v.memoryMB)
			v.mu.Lock()
			v.memEnds++
			v.mu.Unlock()
			_ = cmd.Process.Kill()
			return
		}
	}
}

func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (v *vm) signal(s syscall.Signal) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return false
	}
	return v.cmd.Process.Signal(s) == nil
}

// terminate sends SIGTERM, and SIGKILL after grace_s to a process that still runs.
func (v *vm) terminate() {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	if cmd == nil || cmd.Process.Signal(syscall.SIGTERM) != nil {
		return
	}
	time.AfterFunc(graceTime, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.cmd == cmd {
			v.rec.log("%s gets SIGKILL", v.name)
			_ = cmd.Process.Kill()
		}
	})
}

func (v *vm) stop() {
	v.mu.Lock()
	v.stopped = true
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
	}
	v.mu.Unlock()
	select {
	case <-v.done:
	case <-time.After(5 * time.Second):
	}
}
