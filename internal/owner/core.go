// Package owner elects the entry that owns the scheduling of a cell. Ownership
// is a row of the ledger with an epoch. The owner renews the row within its
// lease; the other entries poll it and claim it with a conditional write when it
// has not changed for longer than the lease.
package owner

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
)

// Default timing of ownership.
const (
	// DefaultLease is the validity of the ownership after one renewal.
	DefaultLease = 3 * time.Second
	// DefaultRenewInterval is the time between two renewals by the owner.
	DefaultRenewInterval = time.Second
	// DefaultClockMargin bounds the drift between two clocks during one lease.
	DefaultClockMargin = 300 * time.Millisecond
	// DefaultPollInterval is the time between two reads of the row by an entry
	// that is not the owner.
	DefaultPollInterval = 400 * time.Millisecond
	// DefaultPermitTTL is the validity of a permission to start work that the
	// owner has given.
	DefaultPermitTTL = 2 * time.Second

	// MaxEpoch is the highest epoch. A higher one is not from an owner: epochs count the
	// owners of a cell.
	MaxEpoch = 1 << 48

	// writeRetryDelay is the delay before a failed write is retried.
	writeRetryDelay = 200 * time.Millisecond
	// maxWatchGap is the longest time between two reads of an unbroken watch. It
	// is shorter than the time after which this process reports the store as
	// failing. An owner that continues through an outage therefore sees that this
	// entry reaches the store again before the row is claimed.
	maxWatchGap = 1200 * time.Millisecond
	// minWatchDuration is the shortest watch after which the row may be claimed if
	// TakeoverDelay is 0. By then every report of a store failure by this process
	// has expired, so an owner that continued through an outage has stopped.
	minWatchDuration = confstate.MaxPeerReportAge + 200*time.Millisecond
)

// Timing configures a Core. Zero durations other than TakeoverDelay take the
// defaults.
type Timing struct {
	Lease         time.Duration
	RenewInterval time.Duration
	ClockMargin   time.Duration
	PollInterval  time.Duration
	PermitTTL     time.Duration
	// TakeoverDelay is the time for which the row must be unchanged before
	// another process claims it. 0 waits until the lease has expired on any clock.
	// With a shorter delay the term of the previous owner may continue for
	// Overlap, so whoever acts for the cell must be safe by its epochs alone.
	TakeoverDelay time.Duration
	// SlowerHostDelay is the time by which an entry on a slower host than that of
	// the last owner waits longer before it claims, so that an equally fast one
	// comes first if there is any. Above PollInterval each of those has read the row
	// by then.
	SlowerHostDelay time.Duration
	// FirstClaimDelay is the time for which an entry without any processor time
	// would wait before it claims a row that does not exist. An entry with a whole
	// core does not wait.
	FirstClaimDelay time.Duration
}

// Overlap returns the longest time for which the previous owner may still act
// after a claim.
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

// Self identifies this process. Incarnation differs for each start of the
// process.
type Self struct {
	ID          string
	Addr        string
	Incarnation string
	// ExclusiveID states that no earlier process with this ID is alive, so its
	// ownership may be claimed at once.
	ExclusiveID bool
	// Speed is the processor time of the host in cores; 0 if unknown.
	Speed float64
}

// Row is the stored record of a cell's ownership.
type Row struct {
	EntryID     string `json:"entry_id"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Beat        uint64 `json:"beat"`
	Released    bool   `json:"released,omitempty"`
	// Speed is Self.Speed of the owner.
	Speed float64 `json:"speed,omitempty"`
}

// Event is an input of Core.
type Event interface{ event() }

// Tick prompts Core to start the action that is due.
type Tick struct{}

// ReadDone is the result of a Read. Version is 0 if the row does not exist.
type ReadDone struct {
	Version uint64
	Row     Row
}

// ReadFailed reports that a Read returned no row.
type ReadFailed struct{}

// RowUnreadable is the result of a Read or Write that found a row of another program. A
// Floor that is known is at least the epoch of any owner that may still act.
type RowUnreadable struct {
	Version    uint64
	Floor      uint64
	FloorKnown bool
}

// WriteDone reports that the Write took effect. Version is the new version of
// the row.
type WriteDone struct{ Version uint64 }

// WriteConflict reports that the Write did not take effect because the row has
// another version. It carries the stored row.
type WriteConflict struct {
	Version uint64
	Row     Row
}

// WriteFailed reports that the Write did not take effect and never will.
type WriteFailed struct{}

// WriteUnknown reports that the Write may have taken effect or may still do so.
type WriteUnknown struct{}

// PeerEpoch carries the epoch of an owner that another entry has reported.
type PeerEpoch struct{ Epoch uint64 }

// Release gives the ownership up permanently, for a planned stop.
type Release struct{}

// Resign ends the term of this process without a write, for use when it cannot
// reach the row. An entry that learns of the resignation may claim the row at
// once.
type Resign struct{}

// PeerResigned reports that the owner with the epoch has resigned.
type PeerResigned struct{ Epoch uint64 }

func (Tick) event()          {}
func (ReadDone) event()      {}
func (ReadFailed) event()    {}
func (RowUnreadable) event() {}
func (WriteDone) event()     {}
func (WriteConflict) event() {}
func (WriteFailed) event()   {}
func (WriteUnknown) event()  {}
func (PeerEpoch) event()     {}
func (Release) event()       {}
func (Resign) event()        {}
func (PeerResigned) event()  {}

// Action is an output of Core. At most one is in progress at a time.
type Action interface{ action() }

// Read requests a read of the row.
type Read struct{}

// Write requests a conditional write of the row, which succeeds only if the row
// still has Version.
type Write struct {
	Version uint64
	Row     Row
}

func (Read) action()  {}
func (Write) action() {}

// Core is the state machine of one process for the ownership of one cell. It
// does no I/O and reads no clock. All times are on the monotonic clock of the
// process, which advances while the process is paused.
type Core struct {
	self   Self
	timing Timing

	// The row as last read or written.
	rowKnown bool
	version  uint64
	row      Row
	// unchangedSince is when the row was first seen at version within the
	// present watch: a series of reads and writes without a gap. lastObserved is
	// the latest of them.
	unchangedSince time.Duration
	lastObserved   time.Duration
	watchUnbroken  bool
	watchStart     time.Duration // start of the present watch
	readSentAt     time.Duration
	readLatency    time.Duration // of the last successful read

	// heldEpoch is the epoch of the term that this process holds, 0 for none.
	// The term is valid until validUntil and may start work from startAfter on.
	heldEpoch     uint64
	validUntil    time.Duration
	startAfter    time.Duration
	highestEpoch  uint64        // highest known epoch of any owner
	resignedEpoch uint64        // epoch of the latest term known to have been resigned
	resignedAt    time.Duration // when the resignation became known

	inFlight    bool // an action is in progress
	pendingRow  Row
	writeSentAt time.Duration
	nextWrite   time.Duration
	nextRead    time.Duration
	mustRead    bool
	releasing   bool
}

// NewCore returns a Core that knows nothing of the row.
func NewCore(self Self, timing Timing) *Core {
	return &Core{self: self, timing: timing.withDefaults()}
}

// Step applies an event and returns the action to execute, if any.
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
	case RowUnreadable:
		c.inFlight = false
		c.applyUnreadable(now, e)
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
		if e.Epoch > c.resignedEpoch {
			c.resignedEpoch, c.resignedAt = e.Epoch, now
		}
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
	c.nextRead = now + c.timing.PollInterval
	return []Action{Read{}}
}

// renewIfDue returns the write of the next renewal, or of the release while
// this process is stopping.
func (c *Core) renewIfDue(now time.Duration) []Action {
	if now < c.nextWrite {
		return nil
	}
	row := c.row
	row.Beat++
	row.Released = c.releasing
	c.nextWrite = now + c.timing.RenewInterval
	return c.write(now, row)
}

func (c *Core) write(now time.Duration, row Row) []Action {
	c.inFlight = true
	c.pendingRow = row
	c.writeSentAt = now
	return []Action{Write{Version: c.version, Row: row}}
}

// mayClaim reports whether this process may claim the row: it is available, it
// belongs to an earlier incarnation of an exclusive ID, or it has been unchanged
// for longer than unchangedLimit in an unbroken watch. An entry on a slow host waits
// longer by claimDelay.
func (c *Core) mayClaim(now time.Duration) bool {
	if !c.rowKnown || c.releasing || now < c.nextWrite {
		return false
	}
	if c.self.ExclusiveID && c.row.EntryID == c.self.ID {
		return true
	}
	if c.rowAvailable() {
		return now >= max(c.unchangedSince, c.resignedAt)+c.claimDelay()
	}
	if !c.watchUnbroken || now-c.lastObserved > maxWatchGap {
		return false
	}
	if c.timing.TakeoverDelay == 0 && now-c.watchStart <= minWatchDuration {
		return false
	}
	return now-c.unchangedSince > c.unchangedLimit()+c.claimDelay()
}

// claimDelay returns the time for which this entry leaves the claim to entries on
// faster hosts. There is none if hosts are not known to differ.
func (c *Core) claimDelay() time.Duration {
	switch {
	case c.self.Speed == 0:
		return 0
	case c.version == 0:
		return time.Duration(max(0, 1-c.self.Speed) * float64(c.timing.FirstClaimDelay))
	case c.self.Speed < c.row.Speed:
		return c.timing.SlowerHostDelay
	default:
		return 0
	}
}

// renewalReads bounds the time in which an owner renews, in read latencies of
// this process, if its store calls are as slow as the ones here: the owner sends
// a renewal only after the previous one was answered, and the row is seen here
// only when a read returns.
const renewalReads = 3

// unchangedLimit returns the time for which the row must be unchanged before it
// is claimed.
func (c *Core) unchangedLimit() time.Duration {
	untilExpiry := c.timing.Lease + c.timing.ClockMargin
	if c.timing.TakeoverDelay == 0 {
		return untilExpiry
	}
	return min(untilExpiry, c.timing.TakeoverDelay+renewalReads*c.readLatency)
}

// rowAvailable reports whether the row may be claimed without a wait: it does
// not exist, was released, or its owner has resigned.
func (c *Core) rowAvailable() bool {
	return c.version == 0 || c.row.Released || c.row.Epoch > 0 && c.row.Epoch == c.resignedEpoch
}

func (c *Core) claim(now time.Duration) []Action {
	c.nextWrite = now + c.timing.RenewInterval
	return c.write(now, Row{
		EntryID:     c.self.ID,
		Addr:        c.self.Addr,
		Incarnation: c.self.Incarnation,
		Epoch:       max(c.row.Epoch, c.highestEpoch) + 1,
		Beat:        1,
		Speed:       c.self.Speed,
	})
}

// applyWrite records a row that this process has written. The lease counts from
// before the write was sent, because the others may have seen the row since then.
func (c *Core) applyWrite(now time.Duration, version uint64) {
	wasAvailable := c.rowAvailable()
	newTerm := c.heldEpoch == 0
	c.recordRow(now, version, c.pendingRow)
	if c.pendingRow.Released || c.pendingRow.Epoch == c.resignedEpoch {
		c.endTerm()
		return
	}
	c.setTerm(c.pendingRow.Epoch)
	c.validUntil = c.writeSentAt + c.timing.Lease - c.timing.ClockMargin
	if newTerm {
		c.startAfter = c.earliestStart(now, wasAvailable)
	}
	if c.releasing {
		c.nextWrite = now
	}
}

// earliestStart returns the time from which a new term may start work. That is
// now if the previous owner has released the row; otherwise the permissions that
// it may have given up to the end of its lease must expire first.
func (c *Core) earliestStart(now time.Duration, wasAvailable bool) time.Duration {
	if wasAvailable {
		return now
	}
	return now + c.timing.PermitTTL + c.timing.ClockMargin
}

// applyRow records a row that was read or returned by a conflict, and begins or
// ends the term accordingly.
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

// applyUnreadable records a row that holds no ownership. It counts as that of an unknown
// owner with the highest known epoch: whoever may still act is waited for as for any
// other owner, and the next claim replaces the row. Without a known epoch it is left
// alone, because a claim could repeat an epoch.
func (c *Core) applyUnreadable(now time.Duration, e RowUnreadable) {
	if c.highestEpoch == 0 && !e.FloorKnown {
		c.mustRead, c.watchUnbroken = true, false
		return
	}
	c.mustRead = false
	c.applyRow(now, e.Version, Row{Epoch: max(c.highestEpoch, e.Floor)})
}

// isOwnTerm reports whether the row is a term of this process and no higher
// epoch is known.
func (c *Core) isOwnTerm(row Row) bool {
	return row.Epoch > 0 && row.Epoch != c.resignedEpoch && row.Epoch >= c.highestEpoch && row.Incarnation == c.self.Incarnation && !row.Released
}

// recordRow stores the latest known row and continues the watch, or starts a
// new one after a gap.
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

// observeEpoch records an epoch and ends the term if the epoch is higher.
func (c *Core) observeEpoch(epoch uint64) {
	if epoch > MaxEpoch {
		return
	}
	c.highestEpoch = max(c.highestEpoch, epoch)
	if c.heldEpoch > 0 && epoch > c.heldEpoch {
		c.endTerm()
		c.mustRead = true
	}
}

// StoreOutage describes which entries cannot reach the store. It decides whether
// an owner that cannot renew its lease may continue running work.
type StoreOutage struct {
	// AllEntries is true while no entry reaches the store.
	AllEntries bool
	// ThisEntry is true while this entry does not reach the store.
	ThisEntry bool
}

// Authority states what this process may do for a cell at one moment.
type Authority struct {
	// Owner is true while this process may renew running work. It may also start
	// work if StoreDown is false and StartAfter has passed.
	Owner      bool
	Epoch      uint64
	StartAfter time.Duration
	OwnerID    string
	OwnerAddr  string
	StoreDown  bool
}

// Authority returns the rights at the time now. A process that was paused past
// its lease has none, because its clock advanced during the pause.
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

// Released reports whether this process is stopping and no longer holds the
// row.
func (c *Core) Released() bool {
	return c.releasing && c.heldEpoch == 0 && !c.inFlight && !c.mustRead
}
