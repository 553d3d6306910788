package learned

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/headroom"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

var testTime = time.Unix(1_800_000_000, 0)

func testState(workers, accounts int) State {
	s := State{RunTimes: &runtimes.Snapshot{Queues: []runtimes.QueueSnapshot{{Name: "q", Runs: 3, LastObserved: 3}}},
		Speeds: &workerhealth.Snapshot{Queues: []workerhealth.QueueState{{Queue: "q", Weight: 2}}},
		Demand: &headroom.Snapshot{LearnedMillis: 5000}, Waits: []Wait{{Priority: 1, Millis: 2500}}}
	for i := range workers {
		s.Speeds.Workers = append(s.Speeds.Workers, workerhealth.WorkerState{Worker: fmt.Sprintf("worker-%03d.zone-1", i), Incarnation: fmt.Sprintf("instance-%03d@1800000000000", i),
			Kind: "pool zone-1 rack-1 [ssd nvlink] {64000 131072 8}", LogSlowness: 0.123456789, Precision: 10 + float64(i%100)})
	}
	for i := range accounts {
		s.Demand.Accounts = append(s.Demand.Accounts, headroom.AccountSnapshot{Name: fmt.Sprintf("account-%03d", i), Jobs: 1.123456789, Accelerators: float64(i) + 0.123456789, AcceleratorsSquared: 3.123456789})
	}
	return s
}

// TestRoundTrip guards against a part that is lost between two owners.
func TestRoundTrip(t *testing.T) {
	data, dropped, err := Encode(testState(2, 2), testTime)
	if err != nil || dropped.Total() != 0 {
		t.Fatalf("dropped %+v, error %v", dropped, err)
	}
	s, age, findings, err := Decode(data, testTime.Add(3*time.Second))
	if err != nil || age != 3*time.Second || len(findings) > 0 {
		t.Fatalf("age %v, findings %v, error %v", age, findings, err)
	}
	want := testState(2, 2).ranked()
	if a, b := fmt.Sprint(*s.RunTimes, *s.Speeds, *s.Demand, s.Waits), fmt.Sprint(*want.RunTimes, *want.Speeds, *want.Demand, want.Waits); a != b {
		t.Errorf("decoded %s\nwant    %s", a, b)
	}
}

// TestSizeIsBounded guards against a row that a large fleet makes grow beyond its limit,
// and against the loss of certain speeds while uncertain ones are kept.
func TestSizeIsBounded(t *testing.T) {
	for _, size := range []struct{ workers, accounts, waits int }{{64, 10, 3}, {600, 10, 3}, {600, 256, 3}, {0, 256, 3}} {
		in := testState(size.workers, size.accounts)
		data, dropped, err := Encode(in, testTime)
		if err != nil || len(data) > MaxBytes {
			t.Fatalf("%+v: %d bytes, error %v", size, len(data), err)
		}
		t.Logf("%+v: %d bytes, dropped %+v", size, len(data), dropped)
		s, _, findings, err := Decode(data, testTime)
		if err != nil || len(findings) > 0 || len(s.RunTimes.Queues) != 1 || len(s.Waits) != 1 {
			t.Fatalf("%+v: findings %v, error %v", size, findings, err)
		}
		if len(s.Speeds.Workers)+dropped.Workers != size.workers || len(s.Demand.Accounts)+dropped.Accounts != size.accounts {
			t.Errorf("%+v: %d workers and %d accounts, dropped %+v", size, len(s.Speeds.Workers), len(s.Demand.Accounts), dropped)
		}
		if dropped.Accounts > 0 && len(s.Speeds.Workers) > 0 {
			t.Errorf("%+v: accounts were dropped before workers", size)
		}
		for _, w := range s.Speeds.Workers {
			if dropped.Workers > 0 && w.Precision < 90 {
				t.Errorf("%+v: worker with precision %v kept", size, w.Precision)
			}
		}
		if len(in.Speeds.Workers) != size.workers || len(in.Demand.Accounts) != size.accounts {
			t.Errorf("%+v: Encode has changed its argument", size)
		}
	}
}

// TestOldSpeedsAreDroppedFirst guards against speeds of workers that have left displacing
// those of workers at hand.
func TestOldSpeedsAreDroppedFirst(t *testing.T) {
	s := testState(300, 0)
	for i := range s.Speeds.Workers {
		if i%2 == 0 {
			s.Speeds.Workers[i].Age, s.Speeds.Workers[i].Precision = time.Second, 200
		}
	}
	data, _, err := Encode(s, testTime)
	if err != nil {
		t.Fatal(err)
	}
	got, _, _, _ := Decode(data, testTime)
	for _, w := range got.Speeds.Workers {
		if w.Age > 0 {
			t.Fatalf("worker %s of age %v kept", w.Worker, w.Age)
		}
	}
}

// TestUnencodableState guards against a panic or an unbounded row for a state that no
// row can hold.
func TestUnencodableState(t *testing.T) {
	s := testState(0, 0)
	for i := range 2000 {
		s.Waits = append(s.Waits, Wait{Priority: i, Millis: 1})
	}
	if data, _, err := Encode(s, testTime); !errors.Is(err, ErrOversized) {
		t.Errorf("%d bytes, error %v", len(data), err)
	}
}

// TestIgnoredRows guards against a row that is taken although it can't be trusted.
func TestIgnoredRows(t *testing.T) {
	valid, _, _ := Encode(testState(1, 1), testTime)
	for _, c := range []struct {
		name string
		data string
		now  time.Time
		want error
	}{
		{"missing", "", testTime, ErrMissing},
		{"cut off", string(valid[:len(valid)-1]), testTime, ErrMalformed},
		{"no object", `[1]`, testTime, ErrMalformed},
		{"null", `null`, testTime, ErrForeignVersion},
		{"next version", strings.Replace(string(valid), `"version":1`, `"version":2`, 1), testTime, ErrForeignVersion},
		{"oversized", string(valid) + strings.Repeat(" ", MaxBytes), testTime, ErrOversized},
		{"oldest accepted", string(valid), testTime.Add(MaxAge), nil},
		{"too old", string(valid), testTime.Add(MaxAge + time.Millisecond), ErrTooOld},
		{"clock a little behind", string(valid), testTime.Add(-MaxAhead), nil},
		{"from the future", string(valid), testTime.Add(-MaxAhead - time.Millisecond), ErrFromFuture},
		{"end of time", `{"version":1,"writtenAtMs":9223372036854775807}`, testTime, ErrFromFuture},
		{"beginning of time", `{"version":1,"writtenAtMs":-9223372036854775808}`, testTime, ErrTooOld},
	} {
		if _, age, _, err := Decode([]byte(c.data), c.now); !errors.Is(err, c.want) || age < 0 {
			t.Errorf("%s: age %v, error %v, want %v", c.name, age, err, c.want)
		}
	}
}

// TestMalformedPart guards against the loss of all parts because of one.
func TestMalformedPart(t *testing.T) {
	data, _, _ := Encode(testState(1, 1), testTime)
	var r map[string]json.RawMessage
	if err := json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	r["speeds"] = json.RawMessage(`{"workers":"none"}`)
	delete(r, "demand")
	data, _ = json.Marshal(r)
	s, _, findings, err := Decode(data, testTime)
	if err != nil || len(findings) != 1 || findings[0].Part != PartSpeeds || !errors.Is(findings[0].Err, ErrPartMalformed) {
		t.Fatalf("findings %v, error %v", findings, err)
	}
	if s.Speeds != nil || s.Demand != nil || s.RunTimes == nil || len(s.Waits) != 1 {
		t.Errorf("state %+v", s)
	}
}

// TestValidateWaits guards against waits that no owner can have learned.
func TestValidateWaits(t *testing.T) {
	for _, waits := range [][]Wait{{{0, -1}}, {{0, maxWait.Milliseconds() + 1}}, {{1, 5}, {1, 6}}, make([]Wait, maxWaits+1)} {
		if err := ValidateWaits(waits); !errors.Is(err, errors.NotValid) {
			t.Errorf("%v: error %v", waits, err)
		}
	}
	if err := ValidateWaits([]Wait{{0, 0}, {1, 2500}}); err != nil {
		t.Error(err)
	}
}

// TestChanged guards against writes without news, and against news that are not written.
func TestChanged(t *testing.T) {
	from := testState(2, 2)
	for _, c := range []struct {
		name   string
		change func(*State)
		want   bool
	}{
		{"nothing", func(*State) {}, false},
		{"decay", func(s *State) { s.Demand.Accounts[0].Jobs /= 2; s.Speeds.Workers[0].Precision /= 2 }, false},
		{"worker gone", func(s *State) { s.Speeds.Workers = s.Speeds.Workers[:1] }, false},
		{"run time", func(s *State) { s.RunTimes.Queues[0].Runs++ }, true},
		{"job", func(s *State) { s.Demand.Accounts[1].Jobs += 0.5 }, true},
		{"worker slower", func(s *State) { s.Speeds.Workers[1].LogSlowness += 0.1 }, true},
		{"worker restarted", func(s *State) { s.Speeds.Workers[1].Incarnation = "i2@2" }, true},
		{"slightly longer wait", func(s *State) { s.Waits[0].Millis += 100 }, false},
		{"longer wait", func(s *State) { s.Waits[0].Millis *= 2 }, true},
	} {
		next := testState(2, 2)
		c.change(&next)
		if got := next.Changed(from); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if !from.Changed(State{}) || (State{}).Changed(from) || !(State{}).Empty() || from.Empty() {
		t.Error("empty state")
	}
}

// FuzzDecode guards against a row that makes an owner panic, or that is taken although
// its age is out of bounds.
func FuzzDecode(f *testing.F) {
	valid, _, _ := Encode(testState(3, 3), testTime)
	f.Add(valid)
	f.Add([]byte(`{"version":1,"writtenAtMs":1800000000000,"speeds":{"workers":[{"w":"w","s":1e308,"p":-1}]},"waits":[{"p":1e99}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, age, findings, err := Decode(data, testTime)
		if err != nil {
			if !s.Empty() || len(findings) > 0 {
				t.Fatalf("state %+v, findings %v with error %v", s, findings, err)
			}
			return
		}
		if age < 0 || age > MaxAge {
			t.Fatalf("age %v", age)
		}
		if s.Speeds != nil {
			_ = s.Speeds.Validate()
		}
		if s.RunTimes != nil {
			_, _ = runtimes.Restore(*s.RunTimes)
		}
		if s.Demand != nil {
			var l headroom.Learner
			if l.Restore(0, age, *s.Demand) == nil {
				l.Target(time.Second, time.Second, 0.4, 8)
			}
		}
		_ = ValidateWaits(s.Waits)
		if out, _, err := Encode(s, testTime); err == nil && len(out) > MaxBytes {
			t.Fatalf("%d bytes", len(out))
		}
	})
}
