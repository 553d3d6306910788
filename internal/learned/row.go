package learned

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/headroom"
	"github.com/coltsfootlug/coltsfootlug/internal/runtimes"
	"github.com/coltsfootlug/coltsfootlug/internal/workerhealth"
)

const (
	// Version is the version of the format. A reader ignores rows of other versions.
	Version = 1
	// MaxRowBytes is the size limit of the row in the table, and MaxBytes that of its
	// data. The ledger's envelope holds the tokens of eight writes, about 500 bytes.
	MaxRowBytes = 16_000
	MaxBytes    = MaxRowBytes - 1_000
	// MaxAge is the age beyond which a row is ignored: the load has changed by then.
	MaxAge = time.Minute
	// MaxAhead is the difference between the clocks of two entries that is tolerated.
	MaxAhead = time.Second
)

// Errors of a row that is ignored as a whole.
const (
	ErrMissing        = errors.ConstError("no row")
	ErrMalformed      = errors.ConstError("malformed row")
	ErrOversized      = errors.ConstError("oversized row")
	ErrForeignVersion = errors.ConstError("row of another version")
	ErrTooOld         = errors.ConstError("row is too old")
	ErrFromFuture     = errors.ConstError("row is from the future")
)

// ErrPartMalformed is the error of a part that cannot be decoded.
const ErrPartMalformed = errors.ConstError("malformed part")

// row is the format of the row. The parts are decoded one by one.
type row struct {
	Version         int             `json:"version"`
	WrittenAtMillis int64           `json:"writtenAtMs"` // since 1970
	RunTimes        json.RawMessage `json:"runTimes,omitempty"`
	Speeds          json.RawMessage `json:"speeds,omitempty"`
	Demand          json.RawMessage `json:"demand,omitempty"`
	Waits           json.RawMessage `json:"waits,omitempty"`
}

// Dropped counts what was left out of a row to keep it within MaxBytes.
type Dropped struct{ Workers, Accounts, SpeedQueues, RunTimeQueues int }

// Total returns the number of all entries that were left out.
func (d Dropped) Total() int { return d.Workers + d.Accounts + d.SpeedQueues + d.RunTimeQueues }

// Encode returns the data of the row. If it would exceed MaxBytes it leaves out, in this
// order, the oldest and least certain worker speeds, the accounts with the least demand,
// the least certain errors of expected run times, and the queues without recent runs.
func Encode(s State, writtenAt time.Time) (data []byte, dropped Dropped, err error) {
	s = s.ranked()
	data, err = s.encode(writtenAt)
	for _, list := range s.reducible(&dropped) {
		if err != nil || len(data) <= MaxBytes {
			break
		}
		list.reduce(func() bool {
			data, err = s.encode(writtenAt)
			return err == nil && len(data) <= MaxBytes
		})
	}
	switch {
	case err != nil:
		return nil, dropped, errors.Annotate(err, "encoding the learned state")
	case len(data) > MaxBytes:
		return nil, dropped, errors.Annotatef(ErrOversized, "%d bytes", len(data))
	}
	return data, dropped, nil
}

// reducible is a list of the state that is shortened from its end.
type reducible struct {
	length  int
	keep    func(n int)
	dropped *int
}

// reduce keeps the longest beginning of the list with which the row fits, or nothing. The
// last call of fits is with the list that is kept.
func (r reducible) reduce(fits func() bool) {
	most := sort.Search(r.length, func(n int) bool { // the least n of which n+1 do not fit
		r.keep(n + 1)
		return !fits()
	})
	r.keep(most)
	fits()
	*r.dropped = r.length - most
}

func (s *State) reducible(d *Dropped) []reducible {
	var out []reducible
	if p := s.Speeds; p != nil {
		all := p.Workers
		out = append(out, reducible{len(all), func(n int) { p.Workers = all[:n] }, &d.Workers})
	}
	if p := s.Demand; p != nil {
		all := p.Accounts
		out = append(out, reducible{len(all), func(n int) { p.Accounts = all[:n] }, &d.Accounts})
	}
	if p := s.Speeds; p != nil {
		all := p.Queues
		out = append(out, reducible{len(all), func(n int) { p.Queues = all[:n] }, &d.SpeedQueues})
	}
	if p := s.RunTimes; p != nil {
		all := p.Queues
		out = append(out, reducible{len(all), func(n int) { p.Queues = all[:n] }, &d.RunTimeQueues})
	}
	return out
}

// ranked returns a copy of the state with the lists in the order of their worth to the
// next owner, the most valuable first.
func (s State) ranked() State {
	if s.RunTimes != nil {
		queues := slices.Clone(s.RunTimes.Queues)
		sort.SliceStable(queues, func(i, j int) bool { return queues[i].LastObserved > queues[j].LastObserved })
		s.RunTimes = &runtimes.Snapshot{Queues: queues}
	}
	if s.Demand != nil {
		accounts := slices.Clone(s.Demand.Accounts)
		sort.SliceStable(accounts, func(i, j int) bool { return accounts[i].Accelerators > accounts[j].Accelerators })
		s.Demand = &headroom.Snapshot{Accounts: accounts, LearnedMillis: s.Demand.LearnedMillis}
	}
	if s.Speeds != nil {
		s.Speeds = rankedSpeeds(s.Speeds)
	}
	return s
}

func rankedSpeeds(s *workerhealth.Snapshot) *workerhealth.Snapshot {
	workers, queues := slices.Clone(s.Workers), slices.Clone(s.Queues)
	for i := range workers {
		workers[i].LogSlowness, workers[i].Precision = rounded(workers[i].LogSlowness), rounded(workers[i].Precision)
	}
	sort.SliceStable(workers, func(i, j int) bool {
		if workers[i].Age != workers[j].Age {
			return workers[i].Age < workers[j].Age
		}
		return workers[i].Precision > workers[j].Precision
	})
	sort.SliceStable(queues, func(i, j int) bool { return queues[i].Weight > queues[j].Weight })
	return &workerhealth.Snapshot{Workers: workers, Queues: queues}
}

// speedDigits is the number of significant digits of a worker's speed in the row. All
// digits would take another 2 kB for 64 workers.
const speedDigits = 5

func rounded(x float64) float64 {
	r, err := strconv.ParseFloat(strconv.FormatFloat(x, 'g', speedDigits, 64), 64)
	if err != nil {
		return x
	}
	return r
}

func (s State) encode(writtenAt time.Time) ([]byte, error) {
	r := row{Version: Version, WrittenAtMillis: writtenAt.UnixMilli()}
	var err error
	encodePart := func(to *json.RawMessage, part any, present bool) {
		if present && err == nil {
			*to, err = json.Marshal(part)
		}
	}
	encodePart(&r.RunTimes, s.RunTimes, s.RunTimes != nil)
	encodePart(&r.Speeds, s.Speeds, s.Speeds != nil)
	encodePart(&r.Demand, s.Demand, s.Demand != nil)
	encodePart(&r.Waits, s.Waits, len(s.Waits) > 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(r)
}

// Decode returns the state in the data of a row with the row's age, at least 0. The error
// is that of a row that is ignored as a whole; a malformed part is missing from the state
// and reported as a finding.
func Decode(data []byte, now time.Time) (s State, age time.Duration, findings []Finding, err error) {
	if len(data) == 0 {
		return State{}, 0, nil, ErrMissing
	}
	if len(data) > MaxBytes {
		return State{}, 0, nil, errors.Annotatef(ErrOversized, "%d bytes", len(data))
	}
	var r row
	if err := json.Unmarshal(data, &r); err != nil {
		return State{}, 0, nil, errors.Annotate(ErrMalformed, err.Error())
	}
	if r.Version != Version {
		return State{}, 0, nil, errors.Annotatef(ErrForeignVersion, "version %d, want %d", r.Version, Version)
	}
	age, err = ageOf(r.WrittenAtMillis, now)
	if err != nil {
		return State{}, 0, nil, err
	}
	s, findings = r.parts()
	return s, age, findings, nil
}

func ageOf(writtenAtMillis int64, now time.Time) (time.Duration, error) {
	age := now.Sub(time.UnixMilli(writtenAtMillis)) // saturates
	switch {
	case age > MaxAge:
		return 0, errors.Annotatef(ErrTooOld, "written %v ago", age)
	case age < -MaxAhead:
		return 0, errors.Annotatef(ErrFromFuture, "written %v ahead", -age)
	}
	return max(0, age), nil
}

func (r row) parts() (s State, findings []Finding) {
	decodePart := func(part Part, data json.RawMessage, to any) bool {
		if len(data) == 0 || bytes.Equal(data, []byte("null")) {
			return false
		}
		if err := json.Unmarshal(data, to); err != nil {
			findings = append(findings, Finding{part, errors.Annotate(ErrPartMalformed, err.Error())})
			return false
		}
		return true
	}
	var times runtimes.Snapshot
	if decodePart(PartRunTimes, r.RunTimes, &times) {
		s.RunTimes = &times
	}
	var speeds workerhealth.Snapshot
	if decodePart(PartSpeeds, r.Speeds, &speeds) {
		s.Speeds = &speeds
	}
	var demand headroom.Snapshot
	if decodePart(PartDemand, r.Demand, &demand) {
		s.Demand = &demand
	}
	var waits []Wait
	if decodePart(PartWaits, r.Waits, &waits) {
		s.Waits = waits
	}
	return s, findings
}
