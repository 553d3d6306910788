// Command platform plays the scripted cases of the second review. It starts the project's own
// programs with the commands of the deploy file, and plays the platform, the minions and the
// clients around them on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// scenario is one scripted case. It returns what was seen of the broken rule, empty if the rule
// held, and an error if the case could not run.
type scenario struct {
	minions []minionSpec
	config  configSpec
	play    func(d *deployment, trouble bool) (broken string, err error)
}

var scenarios = map[string]func() scenario{
	"silent-minions": silentMinions,
	"other-kind":     otherKind,
	"late-orders":    lateOrders,
	"reborn-in-cut":  rebornInCut,
}

// longestCase bounds the time that a case may take.
const longestCase = 115 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(run(*name, *record, *root, *trouble))
}

func run(name, record, root string, trouble bool) int {
	newScenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q does not exist\n", name)
		return exitFailed
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	rec := newRecorder(file)
	s := newScenario()
	d, err := startDeployment(root, rec, s)
	if err != nil {
		rec.add("script", "could not run: %v", err)
		return exitFailed
	}
	defer d.close()
	type result struct {
		broken string
		err    error
	}
	done := inBackground(func() result {
		if err := d.awaitService(); err != nil {
			return result{err: err}
		}
		broken, err := s.play(d, trouble)
		return result{broken, err}
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.add("script", "could not run: %v", r.err)
			return exitFailed
		case r.broken != "":
			rec.add("script", "RULE BROKEN: %s", r.broken)
			return exitBroken
		}
		rec.add("script", "the rule held")
		return exitHeld
	case s := <-stop:
		rec.add("script", "could not run: stopped by the signal %q", s)
		return exitFailed
	case <-time.After(longestCase):
		rec.add("script", "could not run: no result within %v", longestCase)
		return exitFailed
	}
}

// inBackground runs f in a goroutine and returns a channel with its result.
func inBackground[T any](f func() T) <-chan T {
	out := make(chan T, 1)
	go func() { out <- f() }()
	return out
}
