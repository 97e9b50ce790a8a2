// Package cli implements the commands of the cornelline binary.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/cornelline/cornelline/pkg/result"
)

// Exit codes of the binary.
const (
	ExitOK = 0
	// ExitFailed is returned when the command ran and failed.
	ExitFailed = 1
	// ExitUsage is returned for wrong flags or arguments.
	ExitUsage = 2
	// ExitConflict is returned when the branch of a settings change has changed since
	// the version that the change builds on.
	ExitConflict = 3
	// ExitUnknown is returned when the command may or may not have taken effect.
	ExitUnknown = 4
)

// options are the flags that all operator commands have in common.
type options struct {
	Address string `long:"address" env:"CORNELLINE_ADDRESS" value-name:"IP:PORT" default:"127.0.0.1:8001" description:"entry VM to talk to"`
	Key     string `long:"key" env:"CORNELLINE_KEY" value-name:"KEY" description:"operator or team key"`
	JSON    bool   `long:"json" description:"print JSON for programs"`
}

// command is the state that all commands have in common. Each command embeds it.
type command struct {
	ctx           context.Context
	sharedOptions *options
	out           io.Writer
}

// Run executes the command line in args and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	shared := &options{}
	parser := flags.NewNamedParser("cornelline", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "cornelline routes requests over pipelines of mixed accelerators and over plain services."
	if _, err := parser.AddGroup("Connection", "", shared); err != nil {
		return fail(errOut, err)
	}
	if err := addCommands(parser, command{ctx: ctx, sharedOptions: shared, out: out}); err != nil {
		return fail(errOut, err)
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

func addCommands(parser *flags.Parser, c command) error {
	for _, add := range []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run an entry VM", "Runs the entry daemon until it is told to stop; a stop drains first.", &serveCommand{command: c}},
		{"gateway", "Run an entry VM on the users' platform", "Runs the entry daemon on the platform that its settings file describes, until it is told to stop; a stop drains first.", &gatewayCommand{command: c}},
		{"address", "Show which entry VMs to use", "Asks an entry VM which addresses callers may use and for how long they may keep the answer.", &addressCommand{command: c}},
		{"status", "Show the state of an entry VM", "Shows settings version, members, upstreams, queues and active rehearsals.", &statusCommand{command: c}},
		{"explain", "Explain a request", "Shows where a request went, why, and what was tried, refused and retried.", &explainCommand{command: c}},
		{"where", "Show where a generation would go", "Asks VMs on the users' platform, at the addresses of their metrics, where a generation with the given head would go now, and why. It sends and changes nothing.", &whereCommand{command: c}},
		{"drain", "Start a planned stop", "Takes the VM out of the answers to callers, lets requests in flight end, then stops it.", &drainCommand{command: c}},
		{"rehearse", "Inject a fault, bounded in time and scope", "Injects a fault at the edge of this VM. Without --fault it lists the active rehearsals.", &rehearseCommand{command: c}},
	} {
		if _, err := parser.AddCommand(add.name, add.short, add.long, add.data); err != nil {
			return fmt.Errorf("add command %s: %w", add.name, err)
		}
	}
	return addSettingsCommands(parser, c)
}

func addSettingsCommands(parser *flags.Parser, c command) error {
	group, err := parser.AddCommand("settings", "Read and change the settings tree", "Reads and changes the settings tree.", &struct{}{})
	if err != nil {
		return fmt.Errorf("add command settings: %w", err)
	}
	for _, add := range []struct {
		name, short, long string
		data              any
	}{
		{"get", "Show branches", "Shows one branch with its version, or lists all branches.", &settingsGetCommand{command: c}},
		{"set", "Change a branch", "Replaces the overrides of a branch. It fails with exit code 3 when the branch has changed since --version.", &settingsSetCommand{command: c}},
		{"apply", "Put a file of branches", "Puts the branches of a JSON file one by one and leaves those alone that already have the value.", &settingsApplyCommand{command: c}},
		{"effective", "Show values in force", "Shows the values in force for a scope, each with the branch it comes from.", &settingsEffectiveCommand{command: c}},
		{"history", "Show past changes", "Shows the changes that the log still holds, with their authors and whether they are valid.", &settingsHistoryCommand{command: c}},
		{"check", "Check a file of settings", "Checks a JSON file of branches without changing anything.", &settingsCheckCommand{command: c}},
	} {
		if _, err := group.AddCommand(add.name, add.short, add.long, add.data); err != nil {
			return fmt.Errorf("add command settings %s: %w", add.name, err)
		}
	}
	return nil
}

func fail(errOut io.Writer, err error) int {
	fmt.Fprintln(errOut, "cornelline:", err)
	return ExitFailed
}

// exitCode prints the error or the help text of a command and returns its exit code.
func exitCode(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(errOut, "cornelline:", usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, "cornelline:", err)
	var unknownOutcome *unknownOutcomeError
	if errors.As(err, &unknownOutcome) {
		return ExitUnknown
	}
	var e *result.Error
	if !errors.As(err, &e) {
		return ExitFailed
	}
	switch {
	case e.Code == result.SettingsConflict:
		return ExitConflict
	case e.Outcome == result.OutcomeUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

// readInput returns the content of the file at path, or of standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
