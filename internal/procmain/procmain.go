// Package procmain holds the parts of main that all processes share: loading
// settings from the command line, the logger, signal handling, graceful shutdown
// and exit codes.
package procmain

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// The exit codes of the processes.
const (
	ExitOK              = 0
	ExitFailed          = 1 // a service failed to start or failed while running
	ExitUsage           = 2 // invalid flags or settings
	ExitDrainIncomplete = 3 // the process stopped with work still in progress
)

// stopReturnTimeout is how long services have to return from Stop after its
// context has ended.
const stopReturnTimeout = 5 * time.Second

// Load parses the flags of a process, which are -settings FILE, and loads the
// file. If the process has to exit, it writes the reason to stderr and returns
// nil and the exit code.
func Load[T any](name string, args []string, stderr io.Writer, load func(path string) (*T, error)) (*T, int) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "`FILE` with the settings in TOML (required)")
	flags.Usage = func() {
		fmt.Fprintf(stderr, "Usage: %s -settings FILE\n", name)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return nil, ExitOK
	} else if err != nil {
		return nil, ExitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		flags.Usage()
		return nil, ExitUsage
	}
	s, err := load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, ExitUsage
	}
	return s, ExitOK
}

// logTimeFormat is RFC 3339 with milliseconds: the waits of jobs are shorter than a second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = logTimeFormat }

// NewLogger returns a logger that adds the role and id of the process to each
// line. An empty or unknown level means info.
func NewLogger(w io.Writer, level settings.Level, role settings.Role, id string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(string(level))
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	logger := zerolog.New(w).Level(parsed).With().Timestamp().Str("role", string(role))
	return logger.Str("id", id).Logger()
}

// Process runs a kernel until a signal or the failure of a service ends it.
type Process struct {
	Kernel *kernel.Kernel
	Log    zerolog.Logger
	// Zone is the availability zone of the host, for the line at the start. It may be
	// empty.
	Zone string
	// DrainTimeout bounds how long a graceful stop waits for work in progress.
	DrainTimeout time.Duration
	// Failed, if not nil, receives the error of a service that fails while it
	// runs, which ends the process.
	Failed <-chan error
	// Reload, if not nil, re-reads the settings on SIGHUP.
	Reload func() error
	// Dump receives the state dump on SIGUSR1. Default os.Stderr.
	Dump io.Writer
}

// Run starts the kernel, serves until SIGTERM or SIGINT, stops gracefully and
// returns the exit code. A second SIGTERM or SIGINT ends the graceful stop early.
// SIGUSR1 writes the state dump and SIGHUP reloads the settings.
func (p Process) Run() int {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go p.handleReloads(hup)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	return p.run(signals)
}

// handleReloads re-reads the settings on each SIGHUP. SIGHUP never ends the
// process.
func (p Process) handleReloads(hup <-chan os.Signal) {
	for range hup {
		if p.Reload == nil {
			p.Log.Info().Msg("SIGHUP ignored: settings are read only at start")
			continue
		}
		if err := p.Reload(); err != nil {
			p.Log.Error().Err(err).Msg("settings reload failed; keeping the current settings")
			continue
		}
		p.Log.Info().Msg("settings re-read; addresses do not change until the next start")
	}
}

func (p Process) run(signals <-chan os.Signal) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.start(ctx, cancel, signals); err != nil {
		p.Log.Error().Err(err).Msg("start failed")
		return ExitFailed
	}
	var err error
	if ctx.Err() == nil {
		p.Log.Info().Str("zone", p.Zone).Msg("started")
		err = p.serve(signals)
	}
	code := p.stop(signals)
	if err != nil {
		return ExitFailed
	}
	return code
}

// start starts the kernel. SIGTERM or SIGINT cancels the start; later signals
// stay in the channel for stop.
func (p Process) start(ctx context.Context, cancel func(), signals <-chan os.Signal) error {
	done := make(chan error, 1)
	go func() { done <- p.Kernel.Start(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.writeDump()
				continue
			}
			p.Log.Info().Stringer("signal", s).Msg("stopping")
			cancel()
			signals = nil
		}
	}
}

// serve returns nil on SIGTERM or SIGINT, or the error of a failed service.
func (p Process) serve(signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.writeDump()
				continue
			}
			p.Log.Info().Stringer("signal", s).Msg("stopping")
			return nil
		case err := <-p.Failed:
			p.Log.Error().Err(err).Msg("service failed")
			return err
		}
	}
}

func (p Process) stop(signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), p.DrainTimeout)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- p.Kernel.Stop(ctx) }()
	for {
		select {
		case err := <-stopped:
			return p.exitCode(err)
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.writeDump()
				continue
			}
			cancel()
			return p.awaitReturn(stopped)
		case <-ctx.Done():
			return p.awaitReturn(stopped)
		}
	}
}

// awaitReturn waits up to stopReturnTimeout for the services to return after the
// context of the stop has ended, and returns the exit code.
func (p Process) awaitReturn(stopped <-chan error) int {
	select {
	case err := <-stopped:
		return p.exitCode(err)
	case <-time.After(stopReturnTimeout):
		p.Log.Error().Msg("services did not return after the drain ended; exiting")
		return ExitDrainIncomplete
	}
}

// exitCode logs the result of the stop and returns its exit code.
func (p Process) exitCode(err error) int {
	if err != nil {
		p.Log.Error().Err(err).Msg("stopped with work in progress")
		return ExitDrainIncomplete
	}
	p.Log.Info().Msg("stopped")
	return ExitOK
}

func (p Process) writeDump() {
	w := p.Dump
	if w == nil {
		w = os.Stderr
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(p.Kernel.DumpState()); err != nil {
		p.Log.Error().Err(err).Msg("failed to encode state dump as JSON")
	}
}

// LogAcceptFailure returns a function that logs that a server could not accept a connection.
func LogAcceptFailure(log zerolog.Logger) func(error) {
	return func(err error) {
		log.Warn().Err(err).Msg("failed to accept a connection; retrying")
	}
}

// LogPanic returns a function that logs the panic of an HTTP handler with its stack.
// It must be called while the panic is recovered.
func LogPanic(log zerolog.Logger) func(path string, value any) {
	return func(path string, value any) {
		log.Error().Str("path", path).Interface("panic", value).Bytes("stack", debug.Stack()).Msg("handler panicked")
	}
}
