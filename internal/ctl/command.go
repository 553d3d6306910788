package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

// errUsage is the cause of errors for an invalid command line or input file.
const errUsage = errors.ConstError("wrong usage")

func usagef(format string, args ...any) error {
	return errors.Annotatef(errUsage, format, args...)
}

// command is a subcommand without subcommands of its own.
type command struct {
	env       *env
	path      string // group and command name, such as "zones out"
	name      string
	arguments string
	synopsis  string
	example   string
	minArgs   int
	maxArgs   int // negative: unlimited
	flags     func(f *flag.FlagSet)
	run       func(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*command)(nil)

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	line := strings.TrimSpace(fmt.Sprintf("%s %s [FLAGS] %s", programName, c.path, c.arguments))
	return fmt.Sprintf("Usage: %s\n\n%s.\n\nExample:\n%s\n\nFlags:\n", line, capitalize(c.synopsis), c.example)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if f.Output() == os.Stderr {
		f.SetOutput(c.env.stderr)
	}
	c.env.addFlags(f)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positionalArgs(f)
	if err != nil {
		return subcommands.ExitStatus(ExitUsage)
	}
	if len(args) < c.minArgs || (c.maxArgs >= 0 && len(args) > c.maxArgs) {
		fmt.Fprintf(c.env.stderr, "%s: wrong number of arguments for %q: %d\n\n", programName, c.path, len(args))
		f.Usage()
		return subcommands.ExitStatus(ExitUsage)
	}
	if err := c.run(ctx, args); err != nil {
		return subcommands.ExitStatus(c.env.reportError(err))
	}
	return subcommands.ExitSuccess
}

// positionalArgs returns the arguments that are not flags. It also parses flags that
// stand between or after them.
func positionalArgs(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// group is a subcommand with subcommands of its own.
type group struct {
	env      *env
	name     string
	synopsis string
	commands []subcommands.Command
}

var _ subcommands.Command = (*group)(nil)

func newGroup(e *env, name, synopsis string, commands []*command) *group {
	g := &group{env: e, name: name, synopsis: synopsis}
	for _, c := range commands {
		c.env = e
		c.path = name + " " + c.name
		g.commands = append(g.commands, c)
	}
	return g
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	usage := fmt.Sprintf("Usage: %s %s COMMAND [ARGUMENTS]\n\nCommands:\n", programName, g.name)
	for _, c := range g.commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return usage + fmt.Sprintf("\n\"%s %s help COMMAND\" shows a command with an example.\n", programName, g.name)
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return g.env.execute(ctx, programName+" "+g.name, g.commands, f.Args())
}

func capitalize(s string) string {
	if s == "" {
		return s
	}
	return string(s[0]-'a'+'A') + s[1:]
}
