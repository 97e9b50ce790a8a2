// Package config reads the start configuration of an entry VM, which holds the
// values that a process needs before it can read the settings tree.
package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// MinSecretLen is the minimum length of the fleet secret in bytes. A shorter secret
// can be guessed offline from a recorded handshake.
const MinSecretLen = 16

// Config is the start configuration of an entry VM.
type Config struct {
	VM         fleet.VMID         `json:"vm"`
	Region     fleet.RegionID     `json:"region"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	// Domain is the group of VMs that probe each other. If it is empty, the VMs of
	// the data centre are the group. A fleet with only one or two VMs in each data
	// centre sets the same domain for all VMs.
	Domain fleet.DataCentreID `json:"domain,omitempty"`
	// Address is where callers and operators connect, as IP:port.
	Address string `json:"address"`
	// PeerAddress is where other entry VMs connect, as IP:port.
	PeerAddress string `json:"peer_address"`
	// Seeds are the peer addresses of VMs through which this VM joins the fleet.
	Seeds []string `json:"seeds"`
	// FleetSecret authenticates the entry VMs to each other.
	FleetSecret    string `json:"fleet_secret"`
	LogURL         string `json:"log_url"`
	WeightStoreURL string `json:"weight_store_url"`
	VMListURL      string `json:"vm_list_url"`
	// OperatorKeyHash is the SHA-256 hash, in hexadecimal, of the operator key that
	// is valid while the settings tree has no operator keys.
	OperatorKeyHash string `json:"operator_key_hash"`
	// LogLevel is the name of a zerolog level. The default is info.
	LogLevel string `json:"log_level,omitempty"`
}

// Load reads and checks the configuration in the file at path.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, invalidConfig("%s: %v", path, err)
	}
	c, err := Parse(data)
	if err != nil {
		return Config{}, invalidConfig("%s: %v", path, err)
	}
	return c, nil
}

// Parse decodes and checks a configuration. It rejects unknown names.
func Parse(data []byte) (Config, error) {
	var c Config
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return Config{}, err
	}
	return c, c.check()
}

// Level returns the log level.
func (c Config) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil || c.LogLevel == "" {
		return zerolog.InfoLevel
	}
	return level
}

// Self returns the VM that the configuration describes.
func (c Config) Self() fleet.VM {
	return fleet.VM{ID: c.VM, Region: c.Region, DataCentre: c.DataCentre, Address: c.Address, PeerAddress: c.PeerAddress}
}

// DomainID returns Domain or, if it is empty, the data centre.
func (c Config) DomainID() fleet.DataCentreID {
	if c.Domain != "" {
		return c.Domain
	}
	return c.DataCentre
}

func (c Config) check() error {
	if err := c.checkNames(); err != nil {
		return err
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if len(c.FleetSecret) < MinSecretLen {
		return fmt.Errorf("fleet_secret: want at least %d bytes, got %d", MinSecretLen, len(c.FleetSecret))
	}
	if hash, err := hex.DecodeString(c.OperatorKeyHash); err != nil || len(hash) != 32 {
		return fmt.Errorf("operator_key_hash: want the SHA-256 of a key as 64 hexadecimal digits")
	}
	if _, err := zerolog.ParseLevel(c.LogLevel); err != nil {
		return fmt.Errorf("log_level: %w", err)
	}
	return nil
}

func (c Config) checkNames() error {
	for name, value := range map[string]string{"vm": string(c.VM), "region": string(c.Region), "data_centre": string(c.DataCentre)} {
		if value == "" {
			return fmt.Errorf("%s: missing", name)
		}
	}
	return nil
}

func (c Config) checkAddresses() error {
	addresses := map[string]string{"address": c.Address, "peer_address": c.PeerAddress}
	for i, seed := range c.Seeds {
		addresses[fmt.Sprintf("seeds[%d]", i)] = seed
	}
	for name, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return fmt.Errorf("%s: want IP:port, got %q", name, value)
		}
	}
	for name, value := range map[string]string{"log_url": c.LogURL, "weight_store_url": c.WeightStoreURL, "vm_list_url": c.VMListURL} {
		if u, err := url.Parse(value); err != nil || u.Host == "" {
			return fmt.Errorf("%s: want an HTTP URL, got %q", name, value)
		}
	}
	return nil
}

func invalidConfig(format string, args ...any) error {
	return result.New(result.ConfigInvalid, result.NotRun, format, args...)
}
