package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// coreScenario steps cores through a script against one row.
type coreScenario struct {
	cores          map[string]*Core
	now            time.Duration
	version        uint64
	row            Row
	pendingActions map[string]Action // unanswered action of each core
	timing         Timing
}

func (s *coreScenario) core(name string) *Core {
	if _, ok := s.cores[name]; !ok {
		s.cores[name] = NewCore(Self{ID: name, Addr: name, Incarnation: name}, s.timing)
	}
	return s.cores[name]
}

// applyAction executes an action on the row and returns the result.
func (s *coreScenario) applyAction(a Action) Event {
	w, ok := a.(Write)
	if !ok {
		return ReadDone{s.version, s.row}
	}
	if w.Version != s.version {
		return WriteConflict{s.version, s.row}
	}
	s.version++
	s.row = w.Row
	return WriteDone{s.version}
}

// runRound ticks a core and answers its action: not yet ("none"), with an unknown
// outcome ("lost"), with a failure ("failed"), or otherwise with its result.
func (s *coreScenario) runRound(name, answer string) string {
	c := s.core(name)
	actions := c.Step(s.now, Tick{})
	if len(actions) == 0 {
		return "nothing"
	}
	a := actions[0]
	switch answer {
	case "none":
		s.pendingActions[name] = a
	case "lost":
		s.applyAction(a)
		c.Step(s.now, outcomeUnknownEvent(a))
	case "failed":
		c.Step(s.now, failedEvent(a))
	default:
		c.Step(s.now, s.applyAction(a))
	}
	return describeAction(a)
}

func outcomeUnknownEvent(a Action) Event {
	if _, ok := a.(Write); ok {
		return WriteUnknown{}
	}
	return ReadFailed{}
}

func failedEvent(a Action) Event {
	if _, ok := a.(Write); ok {
		return WriteFailed{}
	}
	return ReadFailed{}
}

func describeAction(a Action) string {
	w, ok := a.(Write)
	if !ok {
		return "read"
	}
	return fmt.Sprintf("write over %d: %s epoch %d beat %d released %v", w.Version, w.Row.EntryID, w.Row.Epoch, w.Row.Beat, w.Row.Released)
}

func (s *coreScenario) run(t *testing.T, d *datadriven.TestData) string {
	var name, answer, length string
	everywhere := d.HasArg("outage")
	d.MaybeScanArgs(t, "core", &name)
	d.MaybeScanArgs(t, "answer", &answer)
	d.MaybeScanArgs(t, "for", &length)
	wait, _ := time.ParseDuration(length)
	switch d.Cmd {
	case "round":
		return s.runRound(name, answer)
	case "arrive":
		ev := s.applyAction(s.pendingActions[name])
		s.core(name).Step(s.now, ev)
		return fmt.Sprintf("%T", ev)
	case "short-times":
		s.timing = shortTiming
	case "early-times":
		s.timing = earlyTakeoverTiming
	case "sleep":
		s.now += wait
	case "rounds":
		return s.runRounds(strings.Fields(d.Input), wait)
	case "release":
		s.core(name).Step(s.now, Release{})
	case "peer-epoch":
		var epoch uint64
		d.ScanArgs(t, "epoch", &epoch)
		s.core(name).Step(s.now, PeerEpoch{epoch})
	case "authority":
		a := s.core(name).Authority(s.now, StoreOutage{AllEntries: everywhere, ThisEntry: everywhere})
		return fmt.Sprintf("owner=%v epoch=%d start-after=%v of=%q store-down=%v", a.Owner, a.Epoch, max(0, a.StartAfter-s.now), a.OwnerID, a.StoreDown)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// runRounds ticks cores every 100 ms without faults and returns the writes.
func (s *coreScenario) runRounds(names []string, length time.Duration) string {
	var out []string
	for end := s.now + length; s.now < end; s.now += 100 * time.Millisecond {
		for _, name := range names {
			if a := s.runRound(name, ""); strings.HasPrefix(a, "write") {
				out = append(out, fmt.Sprintf("%v %s", s.now, a))
			}
		}
	}
	return strings.Join(out, "\n")
}

func TestCore(t *testing.T) {
	datadriven.Walk(t, "testdata/core", func(t *testing.T, path string) {
		s := &coreScenario{cores: map[string]*Core{}, pendingActions: map[string]Action{}}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestSoleRestart checks that a process whose ID is exclusive claims the row of
// its previous incarnation at once, while any other process waits for the lease
// to expire.
func TestSoleRestart(t *testing.T) {
	row := Row{EntryID: "a", Incarnation: "first", Epoch: 7, Beat: 3}
	for _, tc := range []struct {
		id     string
		sole   bool
		claims bool
	}{{"a", true, true}, {"a", false, false}, {"b", true, false}} {
		c := NewCore(Self{ID: tc.id, Incarnation: "second", ExclusiveID: tc.sole}, Timing{})
		c.Step(0, Tick{})
		c.Step(time.Millisecond, ReadDone{Version: 5, Row: row})
		acts := c.Step(2*time.Millisecond, Tick{})
		w, claims := Write{}, false
		if len(acts) == 1 {
			w, claims = acts[0].(Write)
		}
		if claims != tc.claims || claims && (w.Version != 5 || w.Row.Epoch != 8) {
			t.Fatalf("%q (sole %v) after reading %+v: %+v", tc.id, tc.sole, row, acts)
		}
	}
}

// TestResign checks that an owner which has resigned does not resume its term,
// even if its last renewal takes effect later, and that an entry which learns of
// the resignation claims the row at once.
func TestResign(t *testing.T) {
	owner := NewCore(Self{ID: "a", Incarnation: "1"}, Timing{})
	owner.Step(0, Tick{})
	owner.Step(0, ReadDone{})
	owner.Step(0, Tick{})
	owner.Step(0, WriteDone{Version: 1})
	if !owner.Authority(time.Millisecond, StoreOutage{}).Owner {
		t.Fatal("no owner to begin with")
	}
	renewal := owner.Step(DefaultRenewInterval, Tick{})
	owner.Step(DefaultRenewInterval, Resign{})
	owner.Step(DefaultRenewInterval, WriteDone{Version: 2})
	row := renewal[0].(Write).Row
	owner.Step(DefaultRenewInterval, ReadDone{Version: 2, Row: row})
	if owner.Authority(DefaultRenewInterval, StoreOutage{}).Owner {
		t.Fatal("owner again after its resignation")
	}
	other := NewCore(Self{ID: "b", Incarnation: "2"}, Timing{})
	other.Step(0, Tick{})
	other.Step(0, ReadDone{Version: 2, Row: row})
	if acts := other.Step(DefaultPollInterval/2, Tick{}); len(acts) > 0 {
		t.Fatalf("claimed before it learned of the resignation: %+v", acts)
	}
	other.Step(DefaultPollInterval/2, PeerResigned{Epoch: row.Epoch})
	acts := other.Step(DefaultPollInterval/2, Tick{})
	if w, ok := acts[0].(Write); !ok || w.Version != 2 || w.Row.Epoch != row.Epoch+1 {
		t.Fatalf("after it learned of the resignation: %+v", acts)
	}
}

// firstClaim returns when an entry claims a row that does not change, if it ticks
// and reads all the time, within limit; 0 if it does not.
func firstClaim(c *Core, version uint64, row Row, limit time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	for now := step; now < limit; now += step {
		for _, a := range c.Step(now, Tick{}) {
			if _, ok := a.(Write); ok {
				return now
			}
			c.Step(now, ReadDone{Version: version, Row: row})
		}
	}
	return 0
}

// TestFasterHostsClaimFirst checks that an entry on a slow host leaves the claim to
// one on a host like the last owner's, and that it claims the row nevertheless.
func TestFasterHostsClaimFirst(t *testing.T) {
	timing := Timing{PollInterval: 200 * time.Millisecond, TakeoverDelay: 750 * time.Millisecond, SlowerHostDelay: 300 * time.Millisecond, FirstClaimDelay: time.Second}
	held := Row{EntryID: "x", Incarnation: "1", Epoch: 3, Beat: 9, Speed: 0.8}
	released := held
	released.Released = true
	bySlowHost := held
	bySlowHost.Speed = 0.2
	for _, tc := range []struct {
		name    string
		version uint64
		row     Row
		// gap is the least time by which the slow host claims later; its claim
		// comes within limit.
		gap, limit time.Duration
	}{
		{"no row", 0, Row{}, 500 * time.Millisecond, time.Second},
		{"released", 7, released, timing.PollInterval, 600 * time.Millisecond},
		{"abandoned", 7, held, timing.PollInterval, 1400 * time.Millisecond},
		{"abandoned by a slow host", 7, bySlowHost, 0, 1100 * time.Millisecond},
	} {
		fast := firstClaim(NewCore(Self{ID: "f", Incarnation: "2", Speed: 0.8}, timing), tc.version, tc.row, tc.limit)
		slow := firstClaim(NewCore(Self{ID: "s", Incarnation: "3", Speed: 0.2}, timing), tc.version, tc.row, tc.limit)
		if fast == 0 || slow == 0 || slow-fast < tc.gap {
			t.Errorf("%s: claimed after %v by the fast host, %v by the slow one", tc.name, fast, slow)
		}
	}
}
