// Command review plays the cases of the review that are scripts: it starts the
// project's processes with the commands of the deploy file on loopback addresses, with
// stand-ins of the platform, the minions and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the play of a case, so that all processes have ended within 120 s.
const caseLimit = 105 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "`NAME` of the case")
	out := flag.String("out", "", "`FILE` of the record")
	keep := flag.String("logs", "", "`DIR` in which the logs of the processes are kept")
	flag.Parse()
	tc, ok := testCases[*name]
	if !ok || *out == "" {
		fmt.Fprintln(os.Stderr, "usage: review -case NAME -out FILE")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecorder(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }() // only logs and settings
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.line("case %s, trouble %v, logs in %s", *name, trouble, filepath.Base(dir))
	return play(rec, dir, tc, trouble)
}

func play(rec *recorder, dir string, tc testCase, trouble bool) int {
	c := newClients(rec)
	d, err := newDeployment(rec, dir, tc.capacity, c.workOf)
	defer d.close()
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c.d = d
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan []finding, 1)
	go func() { done <- tc.play(d, c, trouble) }()
	select {
	case findings := <-done:
		return report(rec, findings)
	case s := <-signals:
		rec.line("the case was ended by signal %v", s)
		return exitNotRun
	case <-time.After(caseLimit - rec.now()):
		rec.line("the case took too long")
		return exitNotRun
	}
}

func report(rec *recorder, findings []finding) int {
	for _, f := range findings {
		rec.line("BROKEN %s: %s", f.rule, f.text)
		fmt.Printf("%s: %s\n", f.rule, f.text)
	}
	if len(findings) > 0 {
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
