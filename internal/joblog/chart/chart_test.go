package chart

import (
	"bytes"
	"image/png"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/joblog"
)

func timeline() joblog.Timeline {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := joblog.Timeline{Begin: begin, StepMS: 1000, Unit: joblog.InTasks, States: map[joblog.State][]float64{joblog.Kept: {1, 2}, joblog.WaitingRoom: {3, 0}},
		Marks: []joblog.Mark{{At: begin, Token: 1}, {At: begin.Add(time.Second), Workers: 3}}}
	for _, c := range joblog.Causes {
		t.States[joblog.LostBy(c)] = []float64{1, 1}
	}
	return t
}

// TestPicture guards against a picture that leaves out states or marks, or cannot be shown.
func TestPicture(t *testing.T) {
	var out bytes.Buffer
	if err := Draw(&out, timeline(), "All jobs", "svg"); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"kept", "waiting-room", "lost-worker-crashed", "lost-otherwise", "term began", "workers lost", "2026-01-01 00:00:00 UTC"} {
		if !strings.Contains(out.String(), name) {
			t.Errorf("no %q in the picture", name)
		}
	}
	out.Reset()
	if err := Draw(&out, timeline(), "All jobs", "png"); err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(&out); err != nil {
		t.Error(err)
	}
	if err := Draw(&out, timeline(), "", "gif"); err == nil {
		t.Error("an unknown format is taken")
	}
	if err := Draw(&out, joblog.Timeline{StepMS: 1000}, "", "png"); err != nil {
		t.Errorf("nothing to draw: %v", err)
	}
}

// TestTicks guards against axes without labels or with too many.
func TestTicks(t *testing.T) {
	for _, high := range []float64{0, 0.3, 1, 7, 58, 393, 86_400} {
		if n := len(ticks(0, high)); n < 1 || n > 13 {
			t.Errorf("%d ticks up to %v", n, high)
		}
	}
}
