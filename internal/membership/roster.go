// Package membership knows the entries of the system. Each entry keeps a row
// of presence in the ledger and exchanges its state with the others.
package membership

import (
	"sort"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Times of presence.
const (
	// PresenceInterval is the time between two writes of an entry's own row.
	PresenceInterval = 2 * time.Second
	// PresenceLease is how long an entry counts as present without a change of
	// its row and without an answer.
	PresenceLease = 6 * time.Second
	// ScanInterval is the time between two reads of all rows.
	ScanInterval = time.Second
	// PresenceRowTTL is how long the row of an absent entry stays.
	PresenceRowTTL = 2 * time.Minute

	// maxScanGap is the longest time between two scans of an unbroken watch.
	maxScanGap = 3 * ScanInterval
	// maxAnnounceGap is the longest time between two writes of the own row in
	// which no other entry has dropped this one.
	maxAnnounceGap = PresenceLease - time.Second
)

// nameSeparator stands between an entry's id and the incarnation of its process.
const nameSeparator = "#"

// processName names one start of an entry's process. An entry that comes in place
// of another does not know what the other had accepted, so the rule on starts
// must not take one for the other.
func processName(id, incarnation string) string { return id + nameSeparator + incarnation }

// entryID returns the entry's id in a full name.
func entryID(name string) string {
	id, _, _ := strings.Cut(name, nameSeparator)
	return id
}

// Presence is the row of an entry's process.
type Presence struct {
	ID          string    `json:"id"`
	Addr        string    `json:"rpc_address"`
	Zone        string    `json:"zone"`
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Beat        uint64    `json:"beat"`
}

func (p Presence) name() string { return processName(p.ID, p.Incarnation) }

// member is the process of another entry.
type member struct {
	name string
	addr string
	zone string

	// The row as last scanned; rowVersion is 0 for an entry without one.
	rowVersion        uint64
	rowUnchangedSince time.Duration // first sight of rowVersion in an unbroken watch
	// expired is set at a scan; between scans nobody is dropped.
	expired bool

	// lastReport is the last report; heard is when the request was sent that it answers.
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

// row is a scanned row of presence.
type row struct {
	version uint64
	Presence
}

// roster is the list of the other entries' processes, by full name. It is
// pure; times are on the process's monotonic clock. While the rows cannot be
// scanned, nobody is dropped for being silent.
type roster struct {
	self              string
	members           map[string]*member
	hints             map[string]bool   // addresses at which an entry may answer
	departed          map[string]uint64 // rows of processes that have left, by version
	hasScanned        bool
	lastScan          time.Duration // start of the last scan
	highestOwnerEpoch uint64        // highest owner epoch heard of
}

func newRoster(self string) *roster {
	return &roster{
		self:     self,
		members:  map[string]*member{},
		hints:    map[string]bool{},
		departed: map[string]uint64{},
	}
}

// applyScan takes over all rows, read by a call that began at start and has ended
// now. It returns the rows that are to be removed.
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

// applyRow takes over one row and reports whether it is to be removed.
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

// expireMembers drops the entries that are neither in a scanned row nor heard.
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

// applyReply takes over a peer's answer to a request that was sent at a time.
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

// applyReport takes over a report whose age is not known. It returns false when
// the peer has left. The report's full name becomes the entry's id.
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

// removeDeparted drops an entry that stops as planned.
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

// isScanning reports whether the rows are being scanned, so that silence tells.
func (r *roster) isScanning(now time.Duration) bool {
	return r.hasScanned && now-r.lastScan <= maxScanGap
}

// present returns the members that count as present.
func (r *roster) present() []*member {
	var out []*member
	for _, m := range r.list() {
		if m.addr != "" && !m.expired {
			out = append(out, m)
		}
	}
	return out
}

// latestProcesses returns the present members, for each entry the process that was heard
// last. The others of the same entry are dead but not yet expired.
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

func (m *member) moreRecentThan(o *member) bool {
	if m.hasReplied != o.hasReplied {
		return m.hasReplied
	}
	if m.hasReplied {
		return m.repliedAt > o.repliedAt
	}
	return m.rowUnchangedSince > o.rowUnchangedSince
}

// peers returns the members as the rule for starting work needs them.
func (r *roster) peers() []confstate.Peer {
	var out []confstate.Peer
	for _, m := range r.present() {
		p := confstate.Peer{ID: m.name, LastReportAt: m.repliedAt, HasReported: m.hasReplied}
		p.StoreFailing = m.lastReport != nil && m.lastReport.StoreFailing
		out = append(out, p)
	}
	return out
}

// allReplied reports whether every entry has answered once, so that it knows of this
// one. A process whose place another one has taken starts no work any more.
func (r *roster) allReplied() bool {
	for _, m := range r.latestProcesses() {
		if !m.hasReplied {
			return false
		}
	}
	return true
}
