// Package docs_test checks the operators' page against the source.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/coltsfootlug/coltsfootlug/internal/settings"
)

const root = "../.."

var (
	logMessagePattern = regexp.MustCompile(`\.Msg\("([^"]+)"\)`)
	reasonPattern     = regexp.MustCompile(`\bReason[A-Za-z]+ +(?:route\.)?(?:Reason )?= "([a-z-]+)"`)
	metricPattern     = regexp.MustCompile(`(?:GetOrRegister(?:Counter|Gauge|GaugeFloat64|Timer|Meter|Histogram)|\.(?:count|incCounter))\("([a-z_0-9.]+)"`)
)

// TestOperationsNamesLogLinesAndMetrics checks that docs/OPERATIONS.md explains each
// log message, metric and reason in the source of the processes.
func TestOperationsNamesLogLinesAndMetrics(t *testing.T) {
	page := readOperationsPage(t)
	for _, dir := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, m := range logMessagePattern.FindAllStringSubmatch(string(source), -1) {
				if !strings.Contains(page, "`"+m[1]+"`") {
					t.Errorf("%s: log message %q is not explained", path, m[1])
				}
			}
			for _, m := range reasonPattern.FindAllStringSubmatch(string(source), -1) {
				if !strings.Contains(page, "`"+m[1]+"`") {
					t.Errorf("%s: reason %q is not explained", path, m[1])
				}
			}
			for _, m := range metricPattern.FindAllStringSubmatch(string(source), -1) {
				if !explainsMetric(page, m[1]) {
					t.Errorf("%s: metric %q is not explained", path, m[1])
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// explainsMetric reports whether the page has `group.name`, or `.name` on a line with
// `group.`. A name that ends with a dot is completed at run time, so a prefix is
// enough.
func explainsMetric(page, name string) bool {
	if strings.Contains(page, "`"+name) {
		return true
	}
	group, last, _ := strings.Cut(name, ".")
	for _, line := range strings.Split(page, "\n") {
		if strings.Contains(line, "`"+group+".") && strings.Contains(line, "`."+last+"`") {
			return true
		}
	}
	return false
}

// TestOperationsNamesSettings checks that docs/OPERATIONS.md explains each key of the
// settings.
func TestOperationsNamesSettings(t *testing.T) {
	page := readOperationsPage(t)
	for _, s := range []reflect.Type{reflect.TypeFor[settings.Entry](), reflect.TypeFor[settings.Agent](), reflect.TypeFor[settings.Standin]()} {
		for _, key := range settingKeys(s) {
			if !regexp.MustCompile("[`.\\[, ]" + key + "[`,\\]. ]").MatchString(page) {
				t.Errorf("%v: key %q is not explained", s, key)
			}
		}
	}
}

// settingKeys returns the TOML keys of a struct and of its nested structs, without
// their paths.
func settingKeys(s reflect.Type) []string {
	var keys []string
	for i := range s.NumField() {
		field := s.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		keys = append(keys, name)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, settingKeys(inner)...)
		}
	}
	return keys
}

func readOperationsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}
