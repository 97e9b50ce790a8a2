package cli

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/gateway"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/platform"
)

type gatewayCommand struct {
	command
	Settings string `long:"settings" value-name:"FILE" description:"the platform's settings file; the default is what CORNELLINE_NODE_FILE names"`
	// LikelyCost is a choice and not a flag, because it is on by default.
	LikelyCost string `long:"likely-cost" choice:"on" choice:"off" default:"on" description:"place generations by their likely cost and by the prompts that engines have still to read"`
	Check      bool   `long:"check" description:"check the settings and end"`
	// The flag is hidden because arguments are visible to other users of the machine.
	FleetSecret string `long:"fleet-secret" hidden:"true" env:"CORNELLINE_FLEET_SECRET"`
}

// memoryLimitShare is the part of the platform's memory limit that is set as the memory
// limit of the Go runtime, near which the garbage collector runs more often. The rest
// is for stacks, kernel buffers and peaks.
const memoryLimitShare = 0.6

// Execute runs the entry daemon on the users' platform.
func (c *gatewayCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return result.New(result.ConfigInvalid, result.NotRun, "%v", err)
	}
	if c.FleetSecret != "" && len(c.FleetSecret) < config.MinSecretLen {
		return result.New(result.ConfigInvalid, result.NotRun, "CORNELLINE_FLEET_SECRET has %d bytes: want %d or more", len(c.FleetSecret), config.MinSecretLen)
	}
	settings.FleetSecret = c.FleetSecret
	settings.IgnoreLikelyCost = c.LikelyCost == "off"
	if c.Check {
		return nil
	}
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryLimitMB) * (1 << 20)))
	}
	output := event.NewWriter(os.Stdout)
	log := event.New(output, string(settings.Self.ID), zerolog.InfoLevel)
	g, err := gateway.New(settings, log, output)
	if err != nil {
		log.Log(event.StartFailed).Int("code", int(result.From(err).Code)).Err(err).Send()
		output.Close()
		return err
	}
	ctx, stop := signal.NotifyContext(c.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go g.FollowSettings(ctx, reload, func() (platform.Settings, error) { return platform.LoadSettings(path) })
	return g.Run(ctx)
}
