package route

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// args reads the arguments of a script's command.
type args struct {
	t *testing.T
	d *datadriven.TestData
}

func (a args) text(key, missing string) string {
	for _, arg := range a.d.CmdArgs {
		if arg.Key != key {
			continue
		}
		if len(arg.Vals) == 0 {
			return "true"
		}
		return arg.Vals[0]
	}
	return missing
}

func (a args) number(key string, missing int) int {
	n, err := strconv.Atoi(a.text(key, strconv.Itoa(missing)))
	a.check(key, err)
	return n
}

func (a args) flag(key string, missing bool) bool {
	b, err := strconv.ParseBool(a.text(key, strconv.FormatBool(missing)))
	a.check(key, err)
	return b
}

func (a args) duration(key string, missing time.Duration) time.Duration {
	v, err := time.ParseDuration(a.text(key, missing.String()))
	a.check(key, err)
	return v
}

func (a args) check(key string, err error) {
	if err != nil {
		a.d.Fatalf(a.t, "argument %q: %v", key, err)
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
