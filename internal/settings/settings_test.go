package settings

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// TestFindings runs scripts whose input is a settings file and whose output
// is the list of findings.
func TestFindings(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "check" {
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			file := "f.toml"
			if d.HasArg("file") {
				d.ScanArgs(t, "file", &file)
			}
			if err := checkData(file, []byte(d.Input)); err != nil {
				return err.Error() + "\n"
			}
			return "ok\n"
		})
	})
}

// TestBodyLimitFitsProtocol ties the limit of the settings to the one between
// the processes.
func TestBodyLimitFitsProtocol(t *testing.T) {
	field, _ := reflect.TypeFor[Limits]().FieldByName("MaxBodyBytes")
	if most := limit(field.Tag.Get("max")); most != rpc.MaxBodyBytes || defaultMaxBodyBytes > most {
		t.Errorf("maximum %d and default %d, want %d", most, defaultMaxBodyBytes, rpc.MaxBodyBytes)
	}
}
