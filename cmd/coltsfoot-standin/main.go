// Command coltsfoot-standin serves stand-ins for the platform's services, for
// tests and the demo. The stand-ins are configured in a settings file (-settings
// FILE) or by flags, each of which may be repeated:
//
//	coltsfoot-standin -http 127.0.0.1:7000 \
//	  -table 127.0.0.1:7001 -objects 127.0.0.1:7002 \
//	  -worker 127.0.0.1:7003,id=w1,accelerators=8,milli_cpu=64000,memory_mb=250000 \
//	  -minion 127.0.0.1:7004,id=m1,slots=8 \
//	  -balancer 127.0.0.1:7005,control=127.0.0.1:7006,target=127.0.0.1:8001,target=127.0.0.1:8002
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/httpx"
	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/procmain"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/rcrowley/go-metrics"
)

// drainTimeout bounds a graceful stop; a stand-in has no work to finish.
const drainTimeout = 5 * time.Second

func main() { os.Exit(run()) }

func run() int {
	var specs standin.Specs
	flags := flag.NewFlagSet("coltsfoot-standin", flag.ExitOnError)
	path := flags.String("settings", "", "`FILE` with stand-ins in TOML, in addition to those of the flags")
	pages := flags.String("http", "", "`address` of the health, metrics and state pages")
	specs.Register(flags)
	// With ExitOnError, Parse never returns an error.
	_ = flags.Parse(os.Args[1:])
	if *path != "" {
		if err := addSettings(&specs, *path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return procmain.ExitUsage
		}
	}
	group, err := specs.Serve()
	if err != nil {
		fmt.Fprintln(os.Stderr, "coltsfoot-standin:", err)
		return procmain.ExitFailed
	}
	log := procmain.NewLogger(os.Stderr, "", "standin", "standin")
	k, err := newKernel(group, *pages)
	if err != nil {
		group.Close()
		log.Error().Err(err).Msg("wiring failed")
		return procmain.ExitFailed
	}
	return procmain.Process{Kernel: k, Log: log, DrainTimeout: drainTimeout}.Run()
}

// newKernel registers the stand-ins and, if the address pages is not empty, the
// HTTP server of their health, metrics and state pages.
func newKernel(group *standin.Group, pages string) (*kernel.Kernel, error) {
	k := kernel.New()
	if err := k.Register("standins", group); err != nil {
		return nil, err
	}
	if pages == "" {
		return k, nil
	}
	registry := metrics.NewRegistry()
	r := httpx.NewRouter(nil)
	httpx.MountDebugPages(r, httpx.DebugOptions{Registry: registry, Dump: func() any { return k.DumpState() }})
	server := httpx.NewServer(httpx.ServerOptions{Listen: pages, Handler: r.Handler, Registry: registry})
	return k, k.Register("http", server)
}
