package kernel

import (
	"context"
	"testing"

	"github.com/juju/errors"
)

type recorder struct {
	name string
	log  *[]string
	fail bool
}

func (r *recorder) Start(context.Context) error {
	if r.fail {
		return errors.New("port in use")
	}
	*r.log = append(*r.log, "start "+r.name)
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

func TestStartFailureStopsStartedServicesInReverse(t *testing.T) {
	var log []string
	k := New()
	for _, s := range []*recorder{{"a", &log, false}, {"b", &log, false}, {"c", &log, true}} {
		if err := k.Register(s.name, s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(context.Background()); err == nil {
		t.Fatal("Start succeeded although service c failed")
	}
	want := []string{"start a", "start b", "stop b", "stop a"}
	if len(log) != len(want) {
		t.Fatalf("log %v, want %v", log, want)
	}
	for i := range want {
		if log[i] != want[i] {
			t.Fatalf("log %v, want %v", log, want)
		}
	}
}

func TestFindByNameAndType(t *testing.T) {
	var log []string
	k := New()
	if err := k.Register("a", &recorder{"a", &log, false}); err != nil {
		t.Fatal(err)
	}
	if _, err := Find[*recorder](k, "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := Find[*Kernel](k, "a"); !errors.Is(err, ErrNoService) {
		t.Fatalf("error %v, want ErrNoService", err)
	}
	if err := k.Register("a", &recorder{}); !errors.Is(err, errors.AlreadyExists) {
		t.Fatalf("error %v, want AlreadyExists", err)
	}
}
