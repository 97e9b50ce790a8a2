package cli

import (
	"os"

	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/entry"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/result"
)

type serveCommand struct {
	command
	Config string `long:"config" required:"yes" value-name:"FILE" description:"start configuration in JSON"`
	Check  bool   `long:"check" description:"check the configuration and end"`
}

// Execute runs the entry daemon.
func (c *serveCommand) Execute([]string) error {
	cfg, err := config.Load(c.Config)
	if err != nil || c.Check {
		return err
	}
	log := event.New(os.Stderr, string(cfg.VM), cfg.Level())
	server, err := entry.New(cfg, log)
	if err != nil {
		log.Log(event.StartFailed).Int("code", int(result.From(err).Code)).Err(err).Send()
		return err
	}
	return server.Run(c.ctx)
}
