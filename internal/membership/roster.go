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

	// scanGap is the longest time between two scans of an unbroken watch.
	scanGap = 3 * ScanInterval
	// announceGap is the longest time between two writes of the own row in
	// which no other entry has dropped this one.
	announceGap = PresenceLease - time.Second
)

// separator stands between an entry's id and the incarnation of its process.
const separator = "#"

// fullName names one start of an entry's process. An entry that comes in place
// of another does not know what the other had accepted, so the rule on starts
// must not take one for the other.
func fullName(id, incarnation string) string { return id + separator + incarnation }

// idOf returns the entry's id in a full name.
func idOf(name string) string {
	id, _, _ := strings.Cut(name, separator)
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

func (p Presence) name() string { return fullName(p.ID, p.Incarnation) }

// member is the process of another entry.
type member struct {
	name string
	addr string
	zone string

	// The row as last scanned; rowVersion is 0 for an entry without one.
	rowVersion uint64
	rowSince   time.Duration // first sight of rowVersion in an unbroken watch
	// expired is set at a scan; between scans nobody is dropped.
	expired bool

	// state is the last report; heard is when the request was sent that it answers.
	state *rpc.PeerState
	heard time.Duration
	ever  bool
}

func (m *member) heardWithin(now, limit time.Duration) bool {
	return m.ever && now-m.heard <= limit
}

// alive reports whether the member counts as present at a scan.
func (m *member) alive(now time.Duration) bool {
	return m.rowVersion != 0 && now-m.rowSince <= PresenceLease || m.heardWithin(now, PresenceLease)
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
	self     string
	members  map[string]*member
	hints    map[string]bool   // addresses at which an entry may answer
	gone     map[string]uint64 // rows of processes that have left, by version
	scanned  bool
	lastScan time.Duration // start of the last scan
	highest  uint64        // highest owner epoch heard of
}

func newRoster(self string) *roster {
	return &roster{
		self:    self,
		members: map[string]*member{},
		hints:   map[string]bool{},
		gone:    map[string]uint64{},
	}
}

// scan takes over all rows, read by a call that began at start and has ended
// now. It returns the rows that are to be removed.
func (r *roster) scan(start, now time.Duration, rows []row) []row {
	unbroken := r.scanned && now-r.lastScan <= scanGap
	found := map[string]bool{}
	var dead []row
	for _, w := range rows {
		if w.name() == r.self {
			continue
		}
		found[w.name()] = true
		if r.see(now, w, unbroken) {
			dead = append(dead, w)
		}
	}
	r.expire(now, found)
	r.scanned, r.lastScan = true, start
	clear(r.hints)
	return dead
}

// see takes over one row and reports whether it is to be removed.
func (r *roster) see(now time.Duration, w row, unbroken bool) bool {
	if r.gone[w.name()] == w.version {
		return false
	}
	delete(r.gone, w.name())
	m := r.member(w.name())
	if m.rowVersion != w.version {
		m.rowVersion, m.rowSince = w.version, now
		m.addr, m.zone = w.Addr, w.Zone
		return false
	}
	if !unbroken {
		m.rowSince = now
	}
	return now-m.rowSince > PresenceRowTTL && !m.heardWithin(now, PresenceLease)
}

// expire drops the entries that are neither in a scanned row nor heard.
func (r *roster) expire(now time.Duration, found map[string]bool) {
	for id, m := range r.members {
		if !found[id] {
			m.rowVersion = 0
		}
		m.expired = !m.alive(now)
		if m.expired && !found[id] {
			delete(r.members, id)
		}
	}
	for id := range r.gone {
		if !found[id] {
			delete(r.gone, id)
		}
	}
}

func (r *roster) member(name string) *member {
	m, ok := r.members[name]
	if !ok {
		m = &member{name: name}
		r.members[name] = m
	}
	return m
}

// answered takes over a peer's answer to a request that was sent at a time.
func (r *roster) answered(sent time.Duration, s *rpc.PeerState) {
	name := s.EntryId
	if !r.received(s) {
		return
	}
	m := r.member(name)
	if !m.ever || sent > m.heard {
		m.heard, m.ever = sent, true
	}
}

// received takes over a report whose age is not known. It returns false when
// the peer has left. The report's full name becomes the entry's id.
func (r *roster) received(s *rpc.PeerState) bool {
	name := s.EntryId
	if name == "" || name == r.self {
		return false
	}
	s.EntryId = idOf(name)
	r.highest = max(r.highest, s.OwnerEpoch)
	if s.RpcAddress == "" {
		r.leave(name)
		return false
	}
	m := r.member(name)
	m.addr, m.state, m.expired = s.RpcAddress, s, false
	return true
}

// leave drops an entry that stops as planned.
func (r *roster) leave(name string) {
	if m, ok := r.members[name]; ok {
		r.gone[name] = m.rowVersion
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

// watching reports whether the rows are being scanned, so that silence tells.
func (r *roster) watching(now time.Duration) bool {
	return r.scanned && now-r.lastScan <= scanGap
}

// entries returns the members that count as present.
func (r *roster) entries() []*member {
	var out []*member
	for _, m := range r.list() {
		if m.addr != "" && !m.expired {
			out = append(out, m)
		}
	}
	return out
}

// newest returns the present members, for each entry the process that was heard
// last. The others of the same entry are dead but not yet expired.
func (r *roster) newest() []*member {
	var out []*member
	for _, m := range r.entries() {
		last := len(out) - 1
		switch {
		case last < 0 || idOf(out[last].name) != idOf(m.name):
			out = append(out, m)
		case m.later(out[last]):
			out[last] = m
		}
	}
	return out
}

func (m *member) later(o *member) bool {
	if m.ever != o.ever {
		return m.ever
	}
	if m.ever {
		return m.heard > o.heard
	}
	return m.rowSince > o.rowSince
}

// peers returns the members as the rule for starting work needs them.
func (r *roster) peers() []confstate.Peer {
	var out []confstate.Peer
	for _, m := range r.entries() {
		p := confstate.Peer{ID: m.name, LastReportAt: m.heard, HasReported: m.ever}
		p.StoreFailing = m.state != nil && m.state.StoreFailing
		out = append(out, p)
	}
	return out
}

// met reports whether every entry has answered once, so that it knows of this
// one. A process whose place another one has taken starts no work any more.
func (r *roster) met() bool {
	for _, m := range r.newest() {
		if !m.ever {
			return false
		}
	}
	return true
}
