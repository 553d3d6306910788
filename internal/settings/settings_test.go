package settings

import (
	"testing"

	"github.com/cockroachdb/datadriven"
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
