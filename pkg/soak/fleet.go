package soak

import (
	"context"
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

// VM runs one entry VM as a separate process and restarts it when it ends.
type VM struct {
	Name             string
	FrontAddress     string
	DirectoryAddress string
	// Store is the proxy between this VM and the store; each VM has its own.
	Store    *Link
	settings string
	log      *os.File

	mu       sync.Mutex
	process  *exec.Cmd
	stopping bool // the process is not restarted
	// sigtermAt is the time of the first SIGTERM to the current process, moved forward by
	// the length of each pause since.
	sigtermAt time.Time
	pausedAt  time.Time // start of the current pause; zero while the process runs
	// disturbedAt is the time of the last fault: a signal, the end of the process, or a
	// change of the path to the store.
	disturbedAt time.Time
	started     bool // a process was started at least once
}

// terminationGrace is the time within which a process must end after SIGTERM. It equals
// grace_s in settingsText.
const terminationGrace = 8 * time.Second

// settingsText is the format of a VM's platform settings file.
const settingsText = `node_name: %[1]q
zone: %[2]q
region: "r"
ip: %[3]q
listen:
  front: "%[3]s:%[4]d"
  ready: "%[3]s:%[5]d"
  control: "%[3]s:%[6]d"
  directory: "%[3]s:%[7]d"
internal_ports: [%[8]d, %[9]d]
seeds: [%[10]s]
first_start: %[11]t
limits: {memory_mb: 256}
heartbeat_ms: 1000
bounds: {settle_window_ms: 3000, drain_ms: 2000, grace_s: 8, config_ms: 2000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 200, stall_ms: 3000, fencing_required: true, ttl_max_s: 5}
platform: {address: %[12]q, min_ttl_ms: 1000}
`

// fleetSecret is the secret of all VMs. By default they would derive it from the address of the
// store, and each VM has a link of its own to it.
const fleetSecret = "secret of the VMs of a soak"

// loopbackNetworks is the number of /24 loopback networks that runs choose from.
const loopbackNetworks = 50_000

// vmAddress returns the loopback address of a VM. All VMs of a run use the same ports, as
// they do on the platform, and therefore need different addresses. The process ID and the
// run index choose the network, which keeps concurrent runs apart, also those of other
// processes.
func vmAddress(run, index int) string {
	n := (os.Getpid()*16 + run) % loopbackNetworks
	return fmt.Sprintf("127.%d.%d.%d", 10+n/250, 1+n%250, 1+index)
}

// freePorts returns n ports that are currently free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
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

// newVM writes the settings of a VM and opens its log file; run starts the process. The
// settings say first_start only for the first 3 s, so that a later restart joins the
// existing fleet.
func newVM(dir string, run, index, count int, ports []int, store *Link) (*VM, error) {
	ip := vmAddress(run, index)
	v := &VM{
		Name: fmt.Sprintf("vm-%d", index), FrontAddress: fmt.Sprintf("%s:%d", ip, ports[0]),
		DirectoryAddress: fmt.Sprintf("%s:%d", ip, ports[3]), Store: store,
		settings: filepath.Join(dir, fmt.Sprintf("vm-%d.yaml", index)),
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", vmAddress(run, i), ports[2])))
	}
	write := func(first bool) error {
		text := fmt.Sprintf(settingsText, v.Name, string(rune('a'+index%3)), ip, ports[0], ports[1], ports[2], ports[3],
			ports[4], ports[4], strings.Join(seeds, ", "), first, store.Address())
		return os.WriteFile(v.settings, []byte(text), 0o600)
	}
	if err := write(true); err != nil {
		return nil, fmt.Errorf("write VM settings: %w", err)
	}
	time.AfterFunc(3*time.Second, func() { _ = write(false) }) // on failure, the file keeps first_start
	var err error
	v.log, err = os.Create(filepath.Join(dir, v.Name+".log"))
	return v, err
}

// run starts the VM's process, and starts it again whenever it ends, until ctx ends or
// the VM is stopped. It reports a violation if the process ends too long after SIGTERM, or
// ends without a SIGTERM or any other fault in the 3 s before.
func (v *VM) run(ctx context.Context, binary string, reportViolation func(string)) {
	for ctx.Err() == nil {
		cmd := exec.Command(binary, "gateway")
		cmd.Env = append(os.Environ(), "CORNELLINE_NODE_FILE="+v.settings, "CORNELLINE_FLEET_SECRET="+fleetSecret)
		cmd.Stdout, cmd.Stderr = v.log, v.log
		if err := cmd.Start(); err != nil {
			reportViolation(fmt.Sprintf("%s does not start: %v", v.Name, err))
			return
		}
		v.mu.Lock()
		v.process, v.sigtermAt, v.pausedAt = cmd, time.Time{}, time.Time{}
		v.started = true
		v.mu.Unlock()
		err := cmd.Wait()
		v.mu.Lock()
		lastDisturbance, firstSigterm := v.disturbedAt, v.sigtermAt
		v.process = nil
		v.disturbedAt = time.Now()
		stopping := v.stopping
		v.mu.Unlock()
		switch {
		case stopping:
			return
		case !firstSigterm.IsZero() && time.Since(firstSigterm) > terminationGrace+time.Second:
			reportViolation(fmt.Sprintf("%s took %v to end after SIGTERM", v.Name, time.Since(firstSigterm)))
		case time.Since(lastDisturbance) > 3*time.Second && firstSigterm.IsZero():
			reportViolation(fmt.Sprintf("%s ended by itself: %v", v.Name, err))
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// Signal sends a signal to the VM's process and records a disturbance. It reports false
// if no process runs or the signal could not be sent.
func (v *VM) Signal(s syscall.Signal) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil || v.process.Process == nil {
		return false
	}
	v.disturbedAt = time.Now()
	switch s {
	case syscall.SIGTERM:
		if v.sigtermAt.IsZero() {
			v.sigtermAt = v.disturbedAt
		}
	case syscall.SIGSTOP:
		if v.pausedAt.IsZero() {
			v.pausedAt = v.disturbedAt
		}
	case syscall.SIGCONT: // a paused process cannot end, so the pause does not count
		if !v.pausedAt.IsZero() && !v.sigtermAt.IsZero() {
			v.sigtermAt = v.sigtermAt.Add(v.disturbedAt.Sub(v.pausedAt))
		}
		v.pausedAt = time.Time{}
	}
	return v.process.Process.Signal(s) == nil
}

// stop kills the process and prevents a restart.
func (v *VM) stop() {
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGKILL)
}

// MarkDisturbed records that a fault affects the VM from now on or until now.
func (v *VM) MarkDisturbed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbedAt = time.Now()
}

// UndisturbedSince reports whether the VM's process runs and no fault affected it at or
// after t.
func (v *VM) UndisturbedSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil && v.disturbedAt.Before(t)
}
