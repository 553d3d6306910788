package owner

import (
	"fmt"
	"reflect"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// clockRateSlack allows for the different rates of the simulated clocks.
const clockRateSlack = 1.05

// inForceBound is the longest time after its acknowledgement for which a change
// may be unknown to a process that starts work.
const inForceBound = time.Duration(float64(confstate.MaxPeerReportAge) * clockRateSlack)

// oracle records the single history of the table and checks the processes
// against it.
type oracle struct {
	configs     map[uint64]*api.Config
	lastVersion uint64
	ownerRows   []Row
	acks        []ack
	// lastStartRight is when each process last had the right to start work.
	lastStartRight map[*process]time.Duration
	startEpochs    map[*process]uint64 // epoch at lastStartRight
	violation      string
	logEvent       func(format string, args ...any)
}

type ack struct {
	ackedAt time.Duration
	version uint64
	unaware map[*process]bool // processes that could not know of the acknowledging process
}

func (o *oracle) init(logEvent func(string, ...any)) {
	o.logEvent = logEvent
	o.configs = map[uint64]*api.Config{0: (&api.Config{}).Clone()}
	o.lastStartRight = map[*process]time.Duration{}
	o.startEpochs = map[*process]uint64{}
}

func (o *oracle) failf(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
		o.logEvent("FAULT %s", o.violation)
	}
}

// recordRow records each row as it takes effect, and checks its order.
func (o *oracle) recordRow(now time.Duration, r external.Row) {
	switch r.Key {
	case "config/doc":
		var c api.Config
		decodeRowData(r, &c)
		if c.Version <= o.lastVersion {
			o.failf("%v: version %d of the configuration follows %d", now, c.Version, o.lastVersion)
		}
		o.lastVersion = c.Version
		o.logEvent("version %d", c.Version)
		o.configs[c.Version] = c.Clone()
	case "owner/cell":
		var row Row
		decodeRowData(r, &row)
		o.recordOwnerRow(now, row)
	}
}

func (o *oracle) recordOwnerRow(now time.Duration, row Row) {
	if n := len(o.ownerRows); n > 0 {
		prev := o.ownerRows[n-1]
		same := prev.Incarnation == row.Incarnation && prev.Epoch == row.Epoch && !prev.Released
		if !same && row.Epoch <= prev.Epoch {
			o.failf("%v: epoch %d of %s follows epoch %d of %s", now, row.Epoch, row.Incarnation, prev.Epoch, prev.Incarnation)
		}
	}
	if n := len(o.ownerRows); n == 0 || o.ownerRows[n-1].Epoch != row.Epoch || row.Released {
		o.logEvent("epoch %d of %s, released %v", row.Epoch, row.Incarnation, row.Released)
	}
	o.ownerRows = append(o.ownerRows, row)
}

// checkInvariants checks what must hold at every moment.
func (o *oracle) checkInvariants(w *world) {
	var owner *process
	for _, p := range w.procs {
		for _, q := range w.procs {
			p.unawareOf(q)
		}
		o.checkConfig(w, p)
		a := p.owner.Current()
		if !a.Owner {
			continue
		}
		if owner != nil && !p.unawareOf(owner) && !owner.unawareOf(p) {
			o.failf("%v: %s and %s are both owner", w.now, owner.name, p.name)
		}
		owner = p
		if !a.StoreDown && p.clock() >= a.StartAfter {
			o.checkStart(w, p, a)
		}
	}
}

func (o *oracle) checkConfig(w *world, p *process) {
	c := p.conf.Current()
	if c.Version < p.version {
		o.failf("%v: %s went from version %d to %d", w.now, p.name, p.version, c.Version)
	}
	if c.Version != p.version && !reflect.DeepEqual(c, o.configs[c.Version]) {
		o.failf("%v: %s has version %d that is not in the history", w.now, p.name, c.Version)
	}
	p.version = c.Version
	if want := o.ackedVersion(w.now-inForceBound, p); c.Version < want && p.conf.Permit() {
		o.failf("%v: %s starts work at version %d, %d was acknowledged", w.now, p.name, c.Version, want)
	}
}

// ackedVersion returns the highest version acknowledged up to time t, without
// acknowledgements by processes of which p could not know.
func (o *oracle) ackedVersion(t time.Duration, p *process) uint64 {
	var v uint64
	for _, a := range o.acks {
		if a.ackedAt <= t && !a.unaware[p] {
			v = max(v, a.version)
		}
	}
	return v
}

// checkStart checks that the permissions which a previous owner may have given
// have expired when the next owner starts work. An owner that has released the row
// has none left.
func (o *oracle) checkStart(w *world, p *process, a Authority) {
	for q, at := range o.lastStartRight {
		if q != p && o.startEpochs[q] < a.Epoch && !q.stopping && w.now-at < w.procs[0].owner.core.timing.PermitTTL {
			o.failf("%v: %s starts work %v after %s could", w.now, p.name, w.now-at, q.name)
		}
	}
	o.lastStartRight[p] = w.now
	o.startEpochs[p] = a.Epoch
}

// checkOutcome checks the outcome of an operator's call against the history so
// far.
func (o *oracle) checkOutcome(w *world, c *configChange) {
	switch {
	case c.err == nil:
		o.checkAcknowledged(w, c)
	case errors.Is(c.err, confstate.ErrVersionConflict):
		if have := o.configs[o.lastVersion].Profiles[c.profile].Version; have == c.expect {
			o.failf("%v: %s lost a race at version %d, which is the present one", w.now, c.marker, have)
		}
	}
}

func (o *oracle) checkAcknowledged(w *world, c *configChange) {
	v := c.result.Version
	got, ok := o.configs[v]
	if !ok || got.Profiles[c.profile].ClientAccount != c.marker || got.Profiles[c.profile].Version != v {
		o.failf("%v: %s was acknowledged as version %d but is not in the history", w.now, c.marker, v)
		return
	}
	if replaced := o.predecessor(v).Profiles[c.profile].Version; c.expect != confstate.AnyVersion && replaced != c.expect {
		o.failf("%v: %s replaced version %d, expected %d", w.now, c.marker, replaced, c.expect)
	}
	a := ack{w.now, v, map[*process]bool{}}
	for _, p := range w.procs {
		a.unaware[p] = p.unawareOf(c.process)
	}
	o.acks = append(o.acks, a)
}

// predecessor returns the configuration that version v replaced.
func (o *oracle) predecessor(v uint64) *api.Config {
	for v--; v > 0; v-- {
		if c, ok := o.configs[v]; ok {
			return c
		}
	}
	return o.configs[0]
}

// checkAllOutcomes checks all calls at the end, when no transaction is delayed any
// more: each acknowledged change was applied exactly once, each refused one never.
func (o *oracle) checkAllOutcomes(changes []*configChange) {
	applied := map[string]int{}
	for _, c := range o.configs {
		for _, p := range c.Profiles {
			if p.Version == c.Version {
				applied[p.ClientAccount]++
			}
		}
	}
	for _, c := range changes {
		n := applied[c.marker]
		refused := errors.Is(c.err, confstate.ErrVersionConflict) || errors.Is(c.err, confstate.ErrStoreDown)
		switch {
		case c.err == nil && n != 1:
			o.failf("%s was acknowledged and happened %d times", c.marker, n)
		case refused && n != 0:
			o.failf("%s was refused (%v) and happened", c.marker, c.err)
		case n > 1:
			o.failf("%s happened %d times", c.marker, n)
		}
	}
}
