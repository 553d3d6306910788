package ctl

import (
	"context"

	"github.com/coltsfootlug/coltsfootlug/internal/client"
)

func dumpCommand(e *env) *command {
	return &command{
		env: e, path: "dump", name: "dump", arguments: "[ADDRESS]", maxArgs: 1,
		synopsis: "print the state dump, in JSON, of the entry or of the process at an HTTP address",
		example:  "  coltsfootctl dump 10.0.1.7:8082",
		run: func(ctx context.Context, args []string) error {
			address := e.entry
			if len(args) > 0 {
				address = args[0]
			}
			dump, err := client.New(address, e.timeout).DumpState(ctx)
			if err != nil {
				return err
			}
			return e.printJSON(dump)
		},
	}
}
