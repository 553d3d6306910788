package procmain

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/coltsfootlug/coltsfootlug/internal/feature"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/settings"
)

const (
	// logBufferLines is how many log lines are buffered for standard output;
	// further lines are dropped and counted.
	logBufferLines = 4096
	// memoryLimitFraction is the Go memory limit, up to which the garbage
	// collector lets the heap grow, as a fraction of the host's memory limit.
	memoryLimitFraction = 0.6
	// drainReserve is the time kept free between the end of the drain and the
	// kill.
	drainReserve = 800 * time.Millisecond
)

// HostedFlags holds the command line flags of a process whose settings are
// provided by its host.
type HostedFlags struct {
	// MetricsPort is the port of the debug pages.
	MetricsPort int
	LogLevel    string
	// Features are the optional decisions of an entry.
	Features feature.Set
}

// LoadHosted parses the flags of a hosted process, loads the settings of the host
// and sets the Go memory limit. If the process has to exit, it writes the reason
// to stderr and returns nil and the exit code.
func LoadHosted(name string, args []string, stderr io.Writer, path string, load func(string) (*settings.Hosted, error)) (*settings.Hosted, HostedFlags, int) {
	var f HostedFlags
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.IntVar(&f.MetricsPort, "metrics-port", 0, "`PORT` of the pages for metrics and state; 0 for none")
	flags.StringVar(&f.LogLevel, "log-level", "info", "least `LEVEL` of lines: debug, info, warn, error")
	features := flags.String("features", "", "comma-separated `NAMES` of the optional decisions of an entry")
	err := flags.Parse(args)
	if err != nil {
		return nil, f, ExitUsage
	}
	if f.Features, err = feature.Parse(*features); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return nil, f, ExitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(stderr, "%s: argument %q is not expected\n", name, flags.Arg(0))
		return nil, f, ExitUsage
	}
	if _, err := zerolog.ParseLevel(f.LogLevel); err != nil {
		fmt.Fprintf(stderr, "%s: log level %q does not exist\n", name, f.LogLevel)
		return nil, f, ExitUsage
	}
	s, err := load(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, f, ExitUsage
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	return s, f, ExitOK
}

// HostedLogger returns a logger that never blocks. Lines that do not fit into the
// buffer while the output is slow are dropped, and dropped is called with their
// number.
func HostedLogger(output io.Writer, f HostedFlags, role, id string, dropped func(int)) zerolog.Logger {
	w := diode.NewWriter(output, logBufferLines, 0, dropped)
	return NewLogger(w, settings.Level(f.LogLevel), settings.Role(role), id)
}

// HostedDrainTimeout returns how long a graceful stop may take.
func HostedDrainTimeout(s *settings.Hosted) time.Duration { return s.StopGrace - drainReserve }

// RunHosted runs a hosted process: it loads the settings, registers the services
// with wire and serves until a signal ends the process. It returns the exit code.
func RunHosted(name, role, path string, load func(string) (*settings.Hosted, error), wire func(*kernel.Kernel, Hosted) error) int {
	s, flags, code := LoadHosted(name, os.Args[1:], os.Stderr, path, load)
	if s == nil {
		return code
	}
	registry := metrics.NewRegistry()
	log := HostedLogger(os.Stdout, flags, role, s.Node, func(n int) {
		metrics.GetOrRegisterCounter("log.dropped", registry).Inc(int64(n))
	})
	k := kernel.New()
	if err := wire(k, Hosted{Settings: s, Flags: flags, Registry: registry, Log: log}); err != nil {
		log.Error().Err(err).Msg("wiring failed")
		return ExitFailed
	}
	reload := func() error {
		_, err := load(path)
		return err
	}
	return Process{Kernel: k, Log: log, Zone: s.Zone, DrainTimeout: HostedDrainTimeout(s), Reload: reload}.Run()
}

// Hosted holds the dependencies that the services of a hosted process are built
// from.
type Hosted struct {
	Settings *settings.Hosted
	Flags    HostedFlags
	Registry metrics.Registry
	Log      zerolog.Logger
}
