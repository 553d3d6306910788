// Package ctl implements the subcommands of coltsfootctl.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/google/subcommands"
)

const (
	programName    = "coltsfootctl"
	entryVariable  = "COLTSFOOT_ENTRY"
	defaultEntry   = "127.0.0.1:8080"
	defaultTimeout = 10 * time.Second
)

// env holds the global flags and standard streams that all subcommands share.
type env struct {
	entry   string
	json    bool
	timeout time.Duration

	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

func (e *env) client() *client.Client { return client.New(e.entry, e.timeout) }

// addFlags adds the flags that every subcommand accepts, before or after its name.
func (e *env) addFlags(f *flag.FlagSet) {
	f.StringVar(&e.entry, "entry", e.entry, "`ADDRESS` of an entry or of the balancer in front of the entries (environment: "+entryVariable+")")
	f.BoolVar(&e.json, "json", e.json, "print JSON for programs instead of text for people")
	f.DurationVar(&e.timeout, "timeout", e.timeout, "`DURATION` that one call to the entry may take")
}

// Run executes one command line, given without the program's name, and returns the
// exit code.
func Run(args []string, getenv func(string) string, stdin io.Reader, stdout, stderr io.Writer) int {
	e := &env{entry: defaultEntry, timeout: defaultTimeout, stdin: stdin, stdout: stdout, stderr: stderr}
	if entry := getenv(entryVariable); entry != "" {
		e.entry = entry
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return int(e.execute(ctx, programName, topLevelCommands(e), args))
}

func topLevelCommands(e *env) []subcommands.Command {
	return []subcommands.Command{
		newGroup(e, "profiles", "list, show, set and delete profiles", profileCommands(e)),
		newGroup(e, "zones", "list availability zones, take them out and in", zoneCommands(e)),
		newGroup(e, "jobs", "submit, list, show, wait for and cancel jobs", jobCommands(e)),
		newGroup(e, "config", "see which process has which configuration in force", configCommands(e)),
		newGroup(e, "settings", "check settings files", settingsCommands(e)),
		newGroup(e, "logs", "read the log lines of processes", logsCommands(e)),
		requestCommand(e),
		dumpCommand(e),
		explainCommand(e),
	}
}

// execute parses args and runs the command that they name.
func (e *env) execute(ctx context.Context, name string, commands []subcommands.Command, args []string) subcommands.ExitStatus {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(e.stderr)
	e.addFlags(flags)
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = e.stdout, e.stderr
	commander.Explain = func(w io.Writer) { printUsage(w, name, commands, flags) }
	for _, c := range commands {
		commander.Register(c, "")
	}
	commander.Register(commander.HelpCommand(), "")
	if err := flags.Parse(helpFlagToCommand(commands, args)); err != nil {
		return subcommands.ExitUsageError
	}
	if flags.NArg() > 0 && flags.Arg(0) != "help" && firstCommandName(commands, flags.Args()[:1]) == nil {
		fmt.Fprintf(e.stderr, "%s: command %q does not exist\n\n", name, flags.Arg(0))
	}
	return commander.Execute(ctx)
}

// helpFlagToCommand replaces a help flag by the help command, which exits with 0. A
// help flag after a group and a further argument is left to the group.
func helpFlagToCommand(commands []subcommands.Command, args []string) []string {
	for i, arg := range args {
		switch {
		case arg == "--":
			return args
		case isHelpFlag(arg):
			return append([]string{"help"}, firstCommandName(commands, args[:i])...)
		case isGroup(commands, arg) && i+1 < len(args) && !isHelpFlag(args[i+1]):
			return args
		}
	}
	return args
}

func isHelpFlag(arg string) bool { return arg == "-h" || arg == "-help" || arg == "--help" }

func isGroup(commands []subcommands.Command, name string) bool {
	for _, c := range commands {
		if _, ok := c.(*group); ok && c.Name() == name {
			return true
		}
	}
	return false
}

func firstCommandName(commands []subcommands.Command, args []string) []string {
	for _, arg := range args {
		for _, c := range commands {
			if c.Name() == arg {
				return []string{arg}
			}
		}
	}
	return nil
}

func printUsage(w io.Writer, name string, commands []subcommands.Command, flags *flag.FlagSet) {
	fmt.Fprintf(w, "Usage: %s [FLAGS] COMMAND [ARGUMENTS]\n\nCommands:\n", name)
	for _, c := range commands {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(w, "\n\"%s help COMMAND\" shows a command with an example.\n\nFlags:\n", name)
	flags.SetOutput(w)
	flags.PrintDefaults()
	fmt.Fprintf(w, "\n%s", exitCodeHelp)
}
