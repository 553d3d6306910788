package workerhealth

import (
	"testing"
	"time"
)

// TestOlderRunLiftsNoLaterQuarantine guards against work for a worker that fails each start: a run that had begun before all its failures ends its quarantine, as only one of them is recent.
func TestOlderRunLiftsNoLaterQuarantine(t *testing.T) {
	var f Failures[int]
	at := time.Second
	for f.QuarantinedUntil()-at < maxQuarantine {
		f.Record(at, int(at))
		at += time.Second
		f.Record(at, int(at))
	}
	until := f.QuarantinedUntil()
	late := at + FailureWindow + time.Second // a run that had begun before fails now
	f.Record(late, -1)
	f.Succeed(0)
	if f.Count() != 1 || f.QuarantinedUntil() != until {
		t.Errorf("%d failures, quarantined until %v, want %v", f.Count(), f.QuarantinedUntil(), until)
	}
	f.Succeed(late + 1)
	if f.Quarantined(late) {
		t.Error("quarantined after a run that was begun since")
	}
}
