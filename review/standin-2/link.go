//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// storeLink is a proxy in front of the store at the one address that all VMs know. It can cut single
// VMs off: their bytes are held in both directions, without a reset.
type storeLink struct {
	target   string
	listener net.Listener
	vms      func() []*vm

	mu      sync.Mutex
	cut     map[string]bool // by name of the VM
	changed chan struct{}   // closed and replaced when cut changes
}

func newStoreLink(target string, vms func() []*vm) (*storeLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store link: %w", err)
	}
	k := &storeLink{target: target, listener: l, vms: vms, cut: map[string]bool{}, changed: make(chan struct{})}
	go k.accept()
	return k, nil
}

func (k *storeLink) address() string { return k.listener.Addr().String() }

// setCut cuts a VM off from the store, or ends the cut.
func (k *storeLink) setCut(name string, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[name] = cut
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *storeLink) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// hold blocks while a VM is cut off.
func (k *storeLink) hold(name string) {
	for {
		k.mu.Lock()
		cut, changed := k.cut[name], k.changed
		k.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

func (k *storeLink) serve(client net.Conn) {
	defer client.Close()
	name := k.owner(client)
	k.hold(name)
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	relay := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			k.hold(name)
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					break
				}
			}
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	both.Go(func() { relay(server, client) })
	both.Go(func() { relay(client, server) })
	both.Wait()
}

// owner returns the name of the VM whose process opened a connection, as the kernel lists it.
func (k *storeLink) owner(c net.Conn) string {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return ""
	}
	for _, v := range k.vms() {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", v.pid()))
		for _, f := range files {
			if target, err := os.Readlink(f); err == nil && target == "socket:["+inode+"]" {
				return v.name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the local socket with these addresses, empty if there is none.
func socketInode(local, remote *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	wantLocal, wantRemote := procAddress(local), procAddress(remote)
	for line := range strings.Lines(string(table)) {
		if f := strings.Fields(line); len(f) > 9 && f[1] == wantLocal && f[2] == wantRemote {
			return f[9]
		}
	}
	return ""
}

// procAddress formats an address as in /proc/net/tcp of a little-endian machine.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
