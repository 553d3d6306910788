package ctl

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/client"
	"github.com/juju/errors"
)

func profileCommands(e *env) []*command {
	return []*command{
		{
			name: "list", synopsis: "list all profiles",
			example: "  coltsfootctl profiles list",
			run:     func(ctx context.Context, _ []string) error { return e.listProfiles(ctx) },
		},
		{
			name: "get", arguments: "NAME", synopsis: "show one profile", minArgs: 1, maxArgs: 1,
			example: "  coltsfootctl profiles get reconstruction --json > reconstruction.json",
			run:     func(ctx context.Context, args []string) error { return e.getProfile(ctx, args[0]) },
		},
		setProfileCommand(e),
		deleteProfileCommand(e),
	}
}

func setProfileCommand(e *env) *command {
	var force bool
	return &command{
		name: "set", arguments: "FILE...", minArgs: 1, maxArgs: -1,
		synopsis: "create or change profiles from JSON files (\"-\" is the standard input); " +
			"a file with a version changes only that version of the profile",
		example: "  coltsfootctl profiles get reconstruction --json > r.json\n" +
			"  vi r.json\n" +
			"  coltsfootctl profiles set r.json",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&force, "force", false, "replace the profile whatever its version")
		},
		run: func(ctx context.Context, args []string) error { return e.setProfiles(ctx, args, force) },
	}
}

func deleteProfileCommand(e *env) *command {
	version := versionFlag(client.AnyVersion)
	return &command{
		name: "delete", arguments: "NAME", synopsis: "delete a profile", minArgs: 1, maxArgs: 1,
		example: "  coltsfootctl profiles delete reconstruction --if-version 12",
		flags:   version.register,
		run: func(ctx context.Context, args []string) error {
			if err := e.client().DeleteProfile(ctx, args[0], uint64(version)); err != nil {
				return err
			}
			fmt.Fprintf(e.stderr, "profile %q deleted\n", args[0])
			return nil
		},
	}
}

func (e *env) listProfiles(ctx context.Context) error {
	profiles, err := e.client().Profiles(ctx)
	if err != nil {
		return err
	}
	return e.printProfiles(profiles)
}

func (e *env) getProfile(ctx context.Context, name string) error {
	p, err := e.client().Profile(ctx, name)
	if err != nil {
		return err
	}
	if e.json {
		return e.printJSON(p)
	}
	return e.printProfiles([]api.Profile{p})
}

func (e *env) printProfiles(profiles []api.Profile) error {
	if e.json {
		return e.printJSON(profiles)
	}
	rows := [][]string{{"PROFILE", "ACCOUNT", "GUARANTEE", "QUOTA", "URGENT", "PREEMPTIBLE", "WEIGHT", "VERSION"}}
	for _, p := range profiles {
		rows = append(rows, []string{
			p.Name, p.ClientAccount, formatGuarantee(p.Guarantee), numberOrDash(p.QuotaAccelerators),
			yesOrDash(p.Urgent), yesOrDash(p.Preemptible), numberOrDash(p.Weight), numberOrDash(p.Version),
		})
	}
	return e.printTable(rows)
}

// setProfiles reads all files before it changes anything. If the entry rejects one
// profile, it prints the profiles that were set before and stops.
func (e *env) setProfiles(ctx context.Context, files []string, force bool) error {
	profiles := make([]api.Profile, len(files))
	for i, file := range files {
		p, err := e.readProfile(file)
		if err != nil {
			return err
		}
		profiles[i] = p
	}
	updated := []api.Profile{}
	for _, p := range profiles {
		stored, err := e.setProfile(ctx, p, force)
		if err != nil {
			return e.reportPartialUpdate(updated, errors.Annotatef(err, "profile %q", p.Name))
		}
		updated = append(updated, stored)
	}
	return e.printProfiles(updated)
}

// reportPartialUpdate prints the profiles that were set before the refusal, and returns the refusal.
func (e *env) reportPartialUpdate(updated []api.Profile, refusal error) error {
	if len(updated) == 0 {
		return refusal
	}
	if err := e.printProfiles(updated); err != nil {
		return err
	}
	return refusal
}

func (e *env) setProfile(ctx context.Context, p api.Profile, force bool) (api.Profile, error) {
	version := p.Version
	if version == 0 || force {
		version = client.AnyVersion
	}
	stored, warning, err := e.client().PutProfile(ctx, p, version)
	if err != nil {
		return p, err
	}
	if warning != "" {
		fmt.Fprintf(e.stderr, "%s: warning: profile %q: %s\n", programName, p.Name, warning)
	}
	return stored, nil
}

func (e *env) readProfile(file string) (api.Profile, error) {
	p, err := readJSONFile[api.Profile](e, file)
	if err == nil && p.Name == "" {
		return p, usagef("%s: profile has no name", file)
	}
	return p, err
}

// versionFlag is the value of the flag --if-version.
type versionFlag uint64

func (v *versionFlag) register(f *flag.FlagSet) {
	f.Var(v, "if-version", "change the item only if it still has this `VERSION`")
}

// String implements flag.Value.
func (v *versionFlag) String() string {
	if v == nil || uint64(*v) == client.AnyVersion || *v == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(*v), 10)
}

// Set implements flag.Value.
func (v *versionFlag) Set(text string) error {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errors.NotValidf("version %q", text)
	}
	*v = versionFlag(n)
	return nil
}

func yesOrDash(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}
