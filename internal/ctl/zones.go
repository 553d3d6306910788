package ctl

import (
	"context"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
)

func zoneCommands(e *env) []*command {
	return []*command{
		{
			name: "list", synopsis: "list the availability zones and their states",
			example: "  coltsfootctl zones list",
			run:     func(ctx context.Context, _ []string) error { return e.listZones(ctx) },
		},
		putZoneCommand(e, "out", "take an availability zone out: no task starts there any more, running ones move",
			api.ZoneOut),
		putZoneCommand(e, "in", "bring an availability zone back in", api.ZoneIn),
	}
}

func putZoneCommand(e *env, name, synopsis string, state api.ZoneState) *command {
	version := versionFlag(client.AnyVersion)
	return &command{
		name: name, arguments: "ZONE", synopsis: synopsis, minArgs: 1, maxArgs: 1,
		example: "  coltsfootctl zones " + name + " zone-b && coltsfootctl config status --wait 10s",
		flags:   version.register,
		run: func(ctx context.Context, args []string) error {
			zone, err := e.client().PutZone(ctx, args[0], state, uint64(version))
			if err != nil {
				return err
			}
			return e.printZones(zone, []api.AvailabilityZone{zone})
		},
	}
}

func (e *env) listZones(ctx context.Context) error {
	zones, err := e.client().Zones(ctx)
	if err != nil {
		return err
	}
	return e.printZones(zones, zones)
}

// printZones prints document in JSON mode, and otherwise zones as a table.
func (e *env) printZones(document any, zones []api.AvailabilityZone) error {
	if e.json {
		return e.printJSON(document)
	}
	rows := [][]string{{"ZONE", "STATE", "VERSION"}}
	for _, z := range zones {
		rows = append(rows, []string{z.Name, string(z.State), numberOrDash(z.Version)})
	}
	return e.printTable(rows)
}
