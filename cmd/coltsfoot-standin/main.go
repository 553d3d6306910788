// Command coltsfoot-standin serves stand-ins for the platform's services, for
// tests and the demo. They are named in a settings file (-settings FILE) or by
// flags, each of which may be given several times:
//
//	coltsfoot-standin -table 127.0.0.1:7001 -objects 127.0.0.1:7002 \
//	  -worker 127.0.0.1:7003,id=w1,accelerators=8,milli_cpu=64000,memory_mb=250000 \
//	  -minion 127.0.0.1:7004,id=m1,slots=8 \
//	  -balancer 127.0.0.1:7005,control=127.0.0.1:7006,target=127.0.0.1:8001,target=127.0.0.1:8002
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/coltsfootlug/coltsfootlug/internal/standin"
)

func main() {
	var specs standin.Specs
	flags := flag.NewFlagSet("coltsfoot-standin", flag.ExitOnError)
	path := flags.String("settings", "", "`FILE` with stand-ins in TOML, in addition to those of the flags")
	specs.Register(flags)
	// ExitOnError: Parse does not return an error.
	_ = flags.Parse(os.Args[1:])
	if *path != "" {
		if err := addSettings(&specs, *path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	group, err := specs.Serve()
	if err != nil {
		fmt.Fprintln(os.Stderr, "coltsfoot-standin:", err)
		os.Exit(1)
	}
	fmt.Fprintln(os.Stderr, "coltsfoot-standin: ready")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	group.Close()
}
