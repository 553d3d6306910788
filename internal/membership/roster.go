// Package membership keeps the list of live entries. Each entry renews a presence
// row in the ledger and exchanges its state with its peers.
package membership

import (
	"sort"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Timing of presence.
const (
	// PresenceInterval is the time between two writes of an entry's own row.
	PresenceInterval = 2 * time.Second
	// PresenceLease is how long an entry counts as present without a change of
	// its row and without a reply to an exchange.
	PresenceLease = 6 * time.Second
	// ScanInterval is the time between two scans of all rows.
	ScanInterval = time.Second
	// PresenceRowTTL is how long the row of an absent entry is kept.
	PresenceRowTTL = 2 * time.Minute

	// maxScanGap is the longest time between two scans of an unbroken watch.
	maxScanGap = 3 * ScanInterval
	// maxAnnounceGap is the longest time between two writes of the own row for
	// which no other entry has dropped this one.
	maxAnnounceGap = PresenceLease - time.Second
)

// nameSeparator separates the entry's ID from the incarnation in a process
// name.
const nameSeparator = "#"

// processName returns the name of one incarnation of an entry. A new incarnation
// does not know what the previous one had accepted, so the rule for starting work
// must tell them apart.
func processName(id, incarnation string) string { return id + nameSeparator + incarnation }

// entryID returns the ID of the entry in a process name.
func entryID(name string) string {
	id, _, _ := strings.Cut(name, nameSeparator)
	return id
}

// Presence is the row of one incarnation of an entry.
type Presence struct {
	ID          string    `json:"id"`
	Addr        string    `json:"rpc_address"`
	Zone        string    `json:"zone"`
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Beat        uint64    `json:"beat"`
}

func (p Presence) name() string { return processName(p.ID, p.Incarnation) }

// member is a process of another entry.
type member struct {
	name string
	addr string
	zone string

	// The row as last scanned; rowVersion is 0 for a process without a row.
	rowVersion        uint64
	rowUnchangedSince time.Duration // when rowVersion was first seen in an unbroken watch
	// expired is set at a scan and cleared by a report; no member expires between
	// scans.
	expired bool

	// lastReport is the latest state that the peer has reported. repliedAt is when
	// the request was sent to which the peer last replied.
	lastReport *rpc.PeerState
	repliedAt  time.Duration
	hasReplied bool
}

func (m *member) repliedWithin(now, limit time.Duration) bool {
	return m.hasReplied && now-m.repliedAt <= limit
}

// alive reports whether the member counts as present at a scan.
func (m *member) alive(now time.Duration) bool {
	return m.rowVersion != 0 && now-m.rowUnchangedSince <= PresenceLease || m.repliedWithin(now, PresenceLease)
}

// row is a scanned presence row.
type row struct {
	version uint64
	Presence
}

// roster is the list of the processes of other entries, by process name. It does
// no I/O and reads no clock; times are on the monotonic clock of this process.
// While the rows cannot be scanned, no member is dropped for being silent.
type roster struct {
	self              string
	members           map[string]*member
	hints             map[string]bool   // addresses at which an entry may reply
	departed          map[string]uint64 // row version by name of a process that has left
	hasScanned        bool
	lastScan          time.Duration // start of the last scan
	highestOwnerEpoch uint64        // highest owner epoch that a peer has reported
}

func newRoster(self string) *roster {
	return &roster{
		self:     self,
		members:  map[string]*member{},
		hints:    map[string]bool{},
		departed: map[string]uint64{},
	}
}

// applyScan records all rows, read by a call that began at start and ended at now.
// It returns the stale rows, which are to be removed.
func (r *roster) applyScan(start, now time.Duration, rows []row) []row {
	unbroken := r.hasScanned && now-r.lastScan <= maxScanGap
	found := map[string]bool{}
	var stale []row
	for _, w := range rows {
		if w.name() == r.self {
			continue
		}
		found[w.name()] = true
		if r.applyRow(now, w, unbroken) {
			stale = append(stale, w)
		}
	}
	r.expireMembers(now, found)
	r.hasScanned, r.lastScan = true, start
	clear(r.hints)
	return stale
}

// applyRow records one row and reports whether it is stale.
func (r *roster) applyRow(now time.Duration, w row, unbroken bool) bool {
	if r.departed[w.name()] == w.version {
		return false
	}
	delete(r.departed, w.name())
	m := r.ensureMember(w.name())
	if m.rowVersion != w.version {
		m.rowVersion, m.rowUnchangedSince = w.version, now
		m.addr, m.zone = w.Addr, w.Zone
		return false
	}
	if !unbroken {
		m.rowUnchangedSince = now
	}
	return now-m.rowUnchangedSince > PresenceRowTTL && !m.repliedWithin(now, PresenceLease)
}

// expireMembers marks the members that are not alive as expired, and drops those
// of them that have no row.
func (r *roster) expireMembers(now time.Duration, found map[string]bool) {
	for id, m := range r.members {
		if !found[id] {
			m.rowVersion = 0
		}
		m.expired = !m.alive(now)
		if m.expired && !found[id] {
			delete(r.members, id)
		}
	}
	for id := range r.departed {
		if !found[id] {
			delete(r.departed, id)
		}
	}
}

func (r *roster) ensureMember(name string) *member {
	m, ok := r.members[name]
	if !ok {
		m = &member{name: name}
		r.members[name] = m
	}
	return m
}

// applyReply records a peer's reply to a request that was sent at the given time.
func (r *roster) applyReply(sent time.Duration, s *rpc.PeerState) {
	name := s.EntryId
	if !r.applyReport(s) {
		return
	}
	m := r.ensureMember(name)
	if !m.hasReplied || sent > m.repliedAt {
		m.repliedAt, m.hasReplied = sent, true
	}
}

// applyReport records a report of unknown age. It returns false if the peer has
// left. It replaces the process name in the report by the entry's ID.
func (r *roster) applyReport(s *rpc.PeerState) bool {
	name := s.EntryId
	if name == "" || name == r.self {
		return false
	}
	s.EntryId = entryID(name)
	r.highestOwnerEpoch = max(r.highestOwnerEpoch, s.OwnerEpoch)
	if s.RpcAddress == "" {
		r.removeDeparted(name)
		return false
	}
	m := r.ensureMember(name)
	m.addr, m.lastReport, m.expired = s.RpcAddress, s, false
	return true
}

// removeDeparted drops a process that has stopped as planned. Its remaining row is
// ignored until it changes.
func (r *roster) removeDeparted(name string) {
	if m, ok := r.members[name]; ok {
		r.departed[name] = m.rowVersion
		delete(r.members, name)
	}
}

// list returns the members in order of name.
func (r *roster) list() []*member {
	out := make([]*member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// isScanning reports whether the rows are being scanned, so that the absence of a
// change is meaningful.
func (r *roster) isScanning(now time.Duration) bool {
	return r.hasScanned && now-r.lastScan <= maxScanGap
}

// present returns the members that have an address and are not expired.
func (r *roster) present() []*member {
	var out []*member
	for _, m := range r.list() {
		if m.addr != "" && !m.expired {
			out = append(out, m)
		}
	}
	return out
}

// latestProcesses returns the present members with one process for each entry: the
// one that has replied last. Its other processes are dead but not yet expired.
func (r *roster) latestProcesses() []*member {
	var out []*member
	for _, m := range r.present() {
		last := len(out) - 1
		switch {
		case last < 0 || entryID(out[last].name) != entryID(m.name):
			out = append(out, m)
		case m.moreRecentThan(out[last]):
			out[last] = m
		}
	}
	return out
}

// moreRecentThan reports whether m has replied more recently than o. A process that
// has replied counts as more recent than one that has not; two that have not are
// compared by their rows.
func (m *member) moreRecentThan(o *member) bool {
	if m.hasReplied != o.hasReplied {
		return m.hasReplied
	}
	if m.hasReplied {
		return m.repliedAt > o.repliedAt
	}
	return m.rowUnchangedSince > o.rowUnchangedSince
}

// peers returns the present members in the form that the rule for starting work
// needs.
func (r *roster) peers() []confstate.Peer {
	var out []confstate.Peer
	for _, m := range r.present() {
		p := confstate.Peer{ID: m.name, LastReportAt: m.repliedAt, HasReported: m.hasReplied}
		p.StoreFailing = m.lastReport != nil && m.lastReport.StoreFailing
		out = append(out, p)
	}
	return out
}

// allReplied reports whether every entry has replied once, so that it knows this
// one. A process that another incarnation has replaced starts no more work.
func (r *roster) allReplied() bool {
	for _, m := range r.latestProcesses() {
		if !m.hasReplied {
			return false
		}
	}
	return true
}
