package ctl

import (
	"context"
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/internal/settings"
	"github.com/juju/errors"
)

func settingsCommands(e *env) []*command {
	return []*command{{
		name: "check", arguments: "FILE...", minArgs: 1, maxArgs: -1,
		synopsis: "check settings files of any role and report all findings together",
		example:  "  coltsfootctl settings check /etc/coltsfoot/*.toml",
		run:      func(_ context.Context, args []string) error { return e.checkSettings(args) },
	}}
}

func (e *env) checkSettings(files []string) error {
	allFindings := settings.Findings{}
	for _, file := range files {
		err := settings.Check(file)
		var findings settings.Findings
		switch {
		case err == nil:
			e.printFileOK(file)
		case errors.As(err, &findings):
			allFindings = append(allFindings, findings...)
		default:
			allFindings = append(allFindings, settings.Finding{File: file, Message: err.Error()})
		}
	}
	if e.json {
		if err := e.printJSON(allFindings); err != nil {
			return err
		}
	}
	if len(allFindings) > 0 {
		return allFindings
	}
	return nil
}

func (e *env) printFileOK(file string) {
	if !e.json {
		fmt.Fprintf(e.stdout, "%s: ok\n", file)
	}
}
