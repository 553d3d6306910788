package settings

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// TestFindings runs the scripts in testdata: the input of each command is a
// settings file and the output is its list of findings.
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

// TestBodyLimitFitsProtocol checks that the maximum of limits.max_body_bytes is
// the limit of the RPC protocol, so that an accepted body can be forwarded.
func TestBodyLimitFitsProtocol(t *testing.T) {
	field, _ := reflect.TypeFor[Limits]().FieldByName("MaxBodyBytes")
	if maximum := parseLimit(field.Tag.Get("max")); maximum != rpc.MaxBodyBytes || defaultMaxBodyBytes > maximum {
		t.Errorf("maximum %d and default %d, want %d", maximum, defaultMaxBodyBytes, rpc.MaxBodyBytes)
	}
}

// FuzzCheck checks for any input that validation does not panic, that each
// finding has a position within the file, and that the library's decoder
// accepts a file without findings.
func FuzzCheck(f *testing.F) {
	f.Add("role = \"standin\"\n[[worker]]\nid = 1\n[worker.x]\n")
	f.Add("role = \"entry\"\ntable.url = 1\n[table]\n[[table]]\nlimits = {max_queue = 0x1}\n")
	f.Add("role = \"agent\"\nslots = [1, {a = 2}]\n[[slots]]\nkind.x = nan\n")
	f.Add("role = \"standin\"\ntable.listen = \"127.0.0.1:9000\"\n[[worker]]\nid = \"w\"\n" +
		"listen = \"127.0.0.1:9001\"\naccelerators = 8\nmilli_cpu = 1\nmemory_mb = 1\n" +
		"[[minion]]\nid = \"m\"\nlisten = \"127.0.0.1:9002\"\nslots = 8\n")
	for _, rest := range []string{
		"table.listen = \"127.0.0.1:9000\"\n[table]\n",
		"table = {listen = \"127.0.0.1:9000\"}\n[table]\n",
		"table = {listen = \"127.0.0.1:9000\"}\ntable.x = 1\n",
		"[table]\nlisten = \"127.0.0.1:9000\"\n[[table]]\n",
		"worker = [{id = \"w\", listen = \"127.0.0.1:9001\", accelerators = 8, milli_cpu = 1, memory_mb = 1}]\n" +
			"[[worker]]\nid = \"v\"\nlisten = \"127.0.0.1:9003\"\naccelerators = 8\nmilli_cpu = 1\nmemory_mb = 1\n",
	} {
		f.Add("role = \"standin\"\n" + rest)
	}
	f.Fuzz(func(t *testing.T, text string) {
		err := checkData("f.toml", []byte(text))
		if err == nil {
			var v map[string]any
			if err := toml.Unmarshal([]byte(text), &v); err != nil {
				t.Errorf("accepted, but is not TOML: %v", err)
			}
		}
		var findings Findings
		if !errors.As(err, &findings) {
			return
		}
		lines := strings.Count(text, "\n") + 1
		for _, finding := range findings {
			if finding.Message == "" || finding.Line < 0 || finding.Line > lines {
				t.Errorf("finding %+v in %d lines", finding, lines)
			}
		}
	})
}
