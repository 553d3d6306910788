// Package owner decides which entry owns the scheduling of a cell. Ownership
// is a row of the ledger with an epoch; the owner renews it, the others watch
// it and take it over by a conditional write once it has not changed for
// longer than the lease.
package owner

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
)

// Times of ownership.
const (
	// DefaultLease is how long one renewal lasts.
	DefaultLease = 3 * time.Second
	// DefaultRenewInterval is the time between two renewals.
	DefaultRenewInterval = time.Second
	// DefaultClockMargin covers the difference of clock rates during a lease.
	DefaultClockMargin = 300 * time.Millisecond
	// DefaultPollInterval is the time between two looks at the row by the others.
	DefaultPollInterval = 400 * time.Millisecond
	// DefaultPermitTTL is how long a permission to start lasts that an owner has given.
	DefaultPermitTTL = 2 * time.Second

	// writeRetryDelay is the time until a write is tried again that was refused.
	writeRetryDelay = 200 * time.Millisecond
	// maxWatchGap is the longest time between two reads of an unbroken watch. It
	// is shorter than the time after which this process reports the store as
	// failing, so that an owner that goes on through an outage hears of the
	// watch before the row is claimed.
	maxWatchGap = 1200 * time.Millisecond
	// minWatchDuration is how long a watch lasts at least before the row is claimed. By
	// then no report of this process that the store fails counts any more, so
	// that an owner that goes on through an outage has stopped.
	minWatchDuration = confstate.MaxPeerReportAge + 200*time.Millisecond
)

// Timing configures a core.
type Timing struct {
	Lease         time.Duration
	RenewInterval time.Duration
	ClockMargin   time.Duration
	PollInterval  time.Duration
	PermitTTL     time.Duration
	// TakeoverDelay is how long the row has to be unchanged before another process
	// claims it; 0 for until the lease is over on any clock. With a shorter time
	// the term of the earlier owner may go on for Overlap: whoever acts for the
	// cell has to be safe by its epochs alone.
	TakeoverDelay time.Duration
}

// Overlap is for how long an earlier owner may still act after a claim.
func (t Timing) Overlap() time.Duration {
	if t.TakeoverDelay == 0 {
		return 0
	}
	return max(0, t.Lease-t.TakeoverDelay)
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Lease, DefaultLease)
	setDefault(&t.RenewInterval, DefaultRenewInterval)
	setDefault(&t.ClockMargin, DefaultClockMargin)
	setDefault(&t.PollInterval, DefaultPollInterval)
	setDefault(&t.PermitTTL, DefaultPermitTTL)
	return t
}

func setDefault(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// Self identifies this process. Incarnation differs for each start of it.
type Self struct {
	ID          string
	Addr        string
	Incarnation string
	// ExclusiveID tells that no earlier process with the ID is alive, so that its
	// ownership may be taken at once.
	ExclusiveID bool
}

// Row is the row of a cell's ownership.
type Row struct {
	EntryID     string `json:"entry_id"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Beat        uint64 `json:"beat"`
	Released    bool   `json:"released,omitempty"`
}

// Event is an input of the core.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// ReadDone answers a Read. Version is 0 for an absent row.
type ReadDone struct {
	Version uint64
	Row     Row
}

// ReadFailed says that a Read got no answer.
type ReadFailed struct{}

// WriteDone says that the Write took effect and gave the row this version.
type WriteDone struct{ Version uint64 }

// WriteConflict says that the Write did not take effect, as the row is another.
type WriteConflict struct {
	Version uint64
	Row     Row
}

// WriteFailed says that the Write did not take effect and never will.
type WriteFailed struct{}

// WriteUnknown says that the Write may have taken effect or still may.
type WriteUnknown struct{}

// PeerEpoch brings the epoch of an owner that another entry knows.
type PeerEpoch struct{ Epoch uint64 }

// Release gives the ownership up for good, for a planned stop.
type Release struct{}

// Resign ends the term of this process without a write, as it cannot reach the
// row. Whoever hears of it may claim the row at once.
type Resign struct{}

// PeerResigned says that the owner of an epoch has resigned.
type PeerResigned struct{ Epoch uint64 }

func (Tick) event()          {}
func (ReadDone) event()      {}
func (ReadFailed) event()    {}
func (WriteDone) event()     {}
func (WriteConflict) event() {}
func (WriteFailed) event()   {}
func (WriteUnknown) event()  {}
func (PeerEpoch) event()     {}
func (Release) event()       {}
func (Resign) event()        {}
func (PeerResigned) event()  {}

// Action is an output of the core. At most one is in progress at a time.
type Action interface{ action() }

// Read asks for the row.
type Read struct{}

// Write asks for a conditional write of the row.
type Write struct {
	Version uint64
	Row     Row
}

func (Read) action()  {}
func (Write) action() {}

// Core is the state of one process's part in the ownership of a cell. It is
// pure: it does no I/O and reads no clock. Times are on the process's
// monotonic clock, which goes on while the process is paused.
type Core struct {
	self  Self
	times Timing

	// The row as last rowKnown or written.
	rowKnown bool
	version  uint64
	row      Row
	// unchangedSince is when the row was first seen at version, in a series of
	// reads without a gap; lastRead is the last of them.
	unchangedSince time.Duration
	lastObserved   time.Duration
	watchUnbroken  bool
	watchStart     time.Duration // start of the series
	readSentAt     time.Duration
	readLatency    time.Duration // by the last read that was answered

	// heldEpoch is that of the term held, 0 for none. The term is valid until
	// validUntil and may start work from startAfter on.
	heldEpoch     uint64
	validUntil    time.Duration
	startAfter    time.Duration
	highestEpoch  uint64 // highest epoch heard of
	resignedEpoch uint64 // epoch of the last term whose owner has resigned

	inFlight    bool // an action is in progress
	pendingRow  Row
	writeSentAt time.Duration
	nextWrite   time.Duration
	nextRead    time.Duration
	mustRead    bool
	releasing   bool
}

// NewCore returns a core that has seen nothing.
func NewCore(self Self, times Timing) *Core {
	return &Core{self: self, times: times.withDefaults()}
}

// Step takes an event and returns the action to carry out, if any.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	switch e := ev.(type) {
	case Tick:
		return c.tick(now)
	case ReadDone:
		c.inFlight, c.mustRead = false, false
		c.readLatency = now - c.readSentAt
		c.applyRow(now, e.Version, e.Row)
	case ReadFailed:
		c.inFlight, c.watchUnbroken = false, false
	case WriteDone:
		c.inFlight = false
		c.applyWrite(now, e.Version)
	case WriteConflict:
		c.inFlight = false
		c.applyRow(now, e.Version, e.Row)
	case WriteFailed:
		c.inFlight = false
		c.nextWrite = now + writeRetryDelay
	case WriteUnknown:
		c.inFlight, c.mustRead, c.watchUnbroken = false, true, false
	case PeerEpoch:
		c.observeEpoch(e.Epoch)
	case Resign:
		if c.heldEpoch > 0 {
			c.resignedEpoch = c.heldEpoch
			c.endTerm()
		}
	case PeerResigned:
		c.resignedEpoch = max(c.resignedEpoch, e.Epoch)
	case Release:
		c.releasing = true
		c.nextWrite = now
	}
	return nil
}

func (c *Core) tick(now time.Duration) []Action {
	switch {
	case c.inFlight:
		return nil
	case c.mustRead:
		return c.readIfDue(now)
	case c.heldEpoch > 0:
		return c.renewIfDue(now)
	case c.mayClaim(now):
		return c.claim(now)
	case now >= c.nextRead && !c.releasing:
		return c.readIfDue(now)
	}
	return nil
}

func (c *Core) readIfDue(now time.Duration) []Action {
	if now < c.nextRead {
		return nil
	}
	c.inFlight = true
	c.readSentAt = now
	c.nextRead = now + c.times.PollInterval
	return []Action{Read{}}
}

// renewIfDue sends the next beat, or the release when this process is leaving.
func (c *Core) renewIfDue(now time.Duration) []Action {
	if now < c.nextWrite {
		return nil
	}
	row := c.row
	row.Beat++
	row.Released = c.releasing
	c.nextWrite = now + c.times.RenewInterval
	return c.write(now, row)
}

func (c *Core) write(now time.Duration, row Row) []Action {
	c.inFlight = true
	c.pendingRow = row
	c.writeSentAt = now
	return []Action{Write{Version: c.version, Row: row}}
}

// mayClaim reports whether the row is free: absent, released, or unchanged
// for long enough.
func (c *Core) mayClaim(now time.Duration) bool {
	if !c.rowKnown || c.releasing || now < c.nextWrite {
		return false
	}
	if c.rowAvailable() || c.self.ExclusiveID && c.row.EntryID == c.self.ID {
		return true
	}
	if !c.watchUnbroken || now-c.lastObserved > maxWatchGap {
		return false
	}
	if c.times.TakeoverDelay == 0 && now-c.watchStart <= minWatchDuration {
		return false
	}
	return now-c.unchangedSince > c.unchangedLimit()
}

// renewalReads is the number of this process's reads for which an owner whose
// table is as slow may take longer to renew: it sends a renewal only after the
// last one was answered, and the row is seen when a read returns.
const renewalReads = 3

// unchangedLimit is how long the row has to be unchanged before it is claimed.
func (c *Core) unchangedLimit() time.Duration {
	untilExpiry := c.times.Lease + c.times.ClockMargin
	if c.times.TakeoverDelay == 0 {
		return untilExpiry
	}
	return min(untilExpiry, c.times.TakeoverDelay+renewalReads*c.readLatency)
}

func (c *Core) rowAvailable() bool {
	return c.version == 0 || c.row.Released || c.row.Epoch > 0 && c.row.Epoch == c.resignedEpoch
}

func (c *Core) claim(now time.Duration) []Action {
	c.nextWrite = now + c.times.RenewInterval
	return c.write(now, Row{
		EntryID:     c.self.ID,
		Addr:        c.self.Addr,
		Incarnation: c.self.Incarnation,
		Epoch:       max(c.row.Epoch, c.highestEpoch) + 1,
		Beat:        1,
	})
}

// applyWrite takes over a row that this process has applyWrite. Validity counts from
// before the write was sent.
func (c *Core) applyWrite(now time.Duration, version uint64) {
	wasAvailable := c.rowAvailable()
	newTerm := c.heldEpoch == 0
	c.recordRow(now, version, c.pendingRow)
	if c.pendingRow.Released || c.pendingRow.Epoch == c.resignedEpoch {
		c.endTerm()
		return
	}
	c.setTerm(c.pendingRow.Epoch)
	c.validUntil = c.writeSentAt + c.times.Lease - c.times.ClockMargin
	if newTerm {
		c.startAfter = c.earliestStart(now, wasAvailable)
	}
	if c.releasing {
		c.nextWrite = now
	}
}

// earliestStart returns from when on a new term may start work: at once when the
// earlier owner has released the row, otherwise when the permissions that it
// may have given up to the end of its lease are over.
func (c *Core) earliestStart(now time.Duration, wasAvailable bool) time.Duration {
	if wasAvailable {
		return now
	}
	return now + c.times.PermitTTL + c.times.ClockMargin
}

// applyRow takes over a row that was read.
func (c *Core) applyRow(now time.Duration, version uint64, row Row) {
	prevEpoch := c.heldEpoch
	c.recordRow(now, version, row)
	c.highestEpoch = max(c.highestEpoch, row.Epoch)
	if !c.isOwnTerm(row) {
		c.endTerm()
		return
	}
	c.setTerm(row.Epoch)
	c.nextWrite = now
	if prevEpoch == 0 {
		c.startAfter = c.earliestStart(now, false)
	}
}

// isOwnTerm reports whether a row shows a term of this process that no later one has
// followed.
func (c *Core) isOwnTerm(row Row) bool {
	return row.Epoch > 0 && row.Epoch != c.resignedEpoch && row.Epoch >= c.highestEpoch && row.Incarnation == c.self.Incarnation && !row.Released
}

func (c *Core) recordRow(now time.Duration, version uint64, row Row) {
	unbroken := c.watchUnbroken && now-c.lastObserved <= maxWatchGap
	if !unbroken {
		c.watchStart = now
	}
	if version != c.version || !unbroken {
		c.unchangedSince = now
	}
	c.rowKnown, c.watchUnbroken = true, true
	c.version, c.row, c.lastObserved = version, row, now
}

func (c *Core) setTerm(epoch uint64) {
	if c.heldEpoch != epoch {
		c.validUntil = 0
	}
	c.heldEpoch = epoch
	c.highestEpoch = max(c.highestEpoch, epoch)
}

func (c *Core) endTerm() {
	c.heldEpoch, c.validUntil, c.startAfter = 0, 0, 0
}

// observeEpoch ends the term when a higher epoch exists.
func (c *Core) observeEpoch(epoch uint64) {
	c.highestEpoch = max(c.highestEpoch, epoch)
	if c.heldEpoch > 0 && epoch > c.heldEpoch {
		c.endTerm()
		c.mustRead = true
	}
}

// StoreOutage tells what the peers know of the store, for the time in which the
// lease cannot be renewed.
type StoreOutage struct {
	// AllEntries is true while no entry reaches the store.
	AllEntries bool
	// ThisEntry is true while this entry's store is down.
	ThisEntry bool
}

// Authority is this process's right to act for a cell at one moment.
type Authority struct {
	// Owner is true while this process may renew running work, and start work
	// if StoreDown is false and StartAfter has passed.
	Owner      bool
	Epoch      uint64
	StartAfter time.Duration
	OwnerID    string
	OwnerAddr  string
	StoreDown  bool
}

// Authority returns the rights at a time. A process that was paused past its
// lease has none, as its clock went on.
func (c *Core) Authority(now time.Duration, outage StoreOutage) Authority {
	auth := Authority{Epoch: c.highestEpoch}
	if c.rowKnown && !c.rowAvailable() {
		auth.OwnerID, auth.OwnerAddr = c.row.EntryID, c.row.Addr
	}
	if c.heldEpoch == 0 || c.releasing || c.validUntil == 0 {
		return auth
	}
	valid := now < c.validUntil
	if !valid && !outage.AllEntries {
		return auth
	}
	auth.Owner = true
	auth.StartAfter = c.startAfter
	auth.StoreDown = !valid || outage.ThisEntry
	return auth
}

// Released reports whether a leaving process holds the row no longer.
func (c *Core) Released() bool {
	return c.releasing && c.heldEpoch == 0 && !c.inFlight && !c.mustRead
}
