package ctl

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/juju/errors"
)

// maxListedProcesses is the number of processes above which the status lists only
// those that lag, unless --all is given.
const maxListedProcesses = 40

// statusPollInterval is the interval between two reads of the configuration status.
const statusPollInterval = 200 * time.Millisecond

func configCommands(e *env) []*command {
	var wait time.Duration
	var all bool
	return []*command{{
		name: "status", synopsis: "show which process has which configuration version in force",
		example: "  coltsfootctl config status --wait 10s",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&wait, "wait", 0, "wait up to `DURATION` until the newest version is in force everywhere")
			f.BoolVar(&all, "all", false, "list all processes, however many; otherwise only those that lag")
		},
		run: func(ctx context.Context, _ []string) error { return e.configStatus(ctx, wait, all) },
	}}
}

func (e *env) configStatus(ctx context.Context, wait time.Duration, all bool) error {
	status, err := e.awaitConfigInForce(ctx, wait)
	if err != nil {
		return err
	}
	if err := e.printStatus(status, all); err != nil {
		return err
	}
	if wait > 0 && !status.InForce {
		return errors.Annotatef(errWaitTimeout, "version %d is not in force everywhere after %v", status.Version, wait)
	}
	return nil
}

func (e *env) awaitConfigInForce(ctx context.Context, wait time.Duration) (api.ConfigStatus, error) {
	c := e.client()
	for deadline := time.Now().Add(wait); ; {
		status, err := c.ConfigStatus(ctx)
		if err != nil || status.InForce || !time.Now().Before(deadline) {
			return status, err
		}
		if err := sleep(ctx, statusPollInterval); err != nil {
			return status, err
		}
	}
}

func (e *env) printStatus(status api.ConfigStatus, all bool) error {
	if e.json {
		return e.printJSON(status)
	}
	state := "not yet in force everywhere"
	if status.InForce {
		state = "in force everywhere"
	}
	lagging := laggingProcesses(status)
	fmt.Fprintf(e.stdout, "version %d, %s; processes: %d, behind: %d\n", status.Version, state, len(status.Processes), len(lagging))
	listed := status.Processes
	if !all && len(listed) > maxListedProcesses {
		listed = lagging
	}
	rows := [][]string{{"PROCESS", "ROLE", "ZONE", "VERSION", "AGE"}}
	for _, p := range listed {
		age := (time.Duration(p.AgeMS) * time.Millisecond).String()
		rows = append(rows, []string{p.Process, p.Role, p.Zone, fmt.Sprint(p.Version), age})
	}
	return e.printTable(rows)
}

// laggingProcesses returns the processes whose configuration is not the newest version.
func laggingProcesses(status api.ConfigStatus) []api.ProcessConfig {
	var lagging []api.ProcessConfig
	for _, p := range status.Processes {
		if p.Version != status.Version {
			lagging = append(lagging, p)
		}
	}
	return lagging
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
