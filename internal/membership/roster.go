// Package membership knows the entries of the system. Each entry keeps a row
// of presence in the ledger and exchanges its state with the others.
package membership

import (
	"sort"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/confstate"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// Times of presence.
const (
	// PresenceInterval is the time between two writes of an entry's own row.
	PresenceInterval = 4 * time.Second
	// PresenceLease is how long an entry counts as present without a change of
	// its row and without an answer.
	PresenceLease = 15 * time.Second
	// ScanInterval is the time between two reads of all rows.
	ScanInterval = 2 * time.Second
	// RowLifetime is how long the row of an absent entry stays.
	RowLifetime = 2 * time.Minute

	// scanGap is the longest time between two scans of an unbroken watch.
	scanGap = 3 * ScanInterval
)

// Presence is the row of an entry.
type Presence struct {
	ID          string    `json:"id"`
	Addr        string    `json:"rpc_address"`
	Zone        string    `json:"zone"`
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Beat        uint64    `json:"beat"`
}

// member is another entry.
type member struct {
	id   string
	addr string
	zone string

	// The row as last scanned; rowVersion is 0 for an entry without one.
	rowVersion uint64
	rowSince   time.Duration // first sight of rowVersion in an unbroken watch

	// state is the last report; heard is when the request was sent that it answers.
	state *rpc.PeerState
	heard time.Duration
	ever  bool
}

func (m *member) heardWithin(now, limit time.Duration) bool {
	return m.ever && now-m.heard <= limit
}

func (m *member) present(now time.Duration) bool {
	return m.rowVersion != 0 && now-m.rowSince <= PresenceLease || m.heardWithin(now, PresenceLease)
}

// row is a scanned row of presence.
type row struct {
	version uint64
	Presence
}

// roster is the list of the other entries. It is pure; times are on the
// process's monotonic clock. While the rows cannot be scanned, nobody is
// dropped for being silent.
type roster struct {
	self     string
	members  map[string]*member
	gone     map[string]uint64 // rows of entries that have left or expired, by version
	known    bool
	scanned  bool
	lastScan time.Duration
	highest  uint64 // highest owner epoch heard of
}

func newRoster(self string) *roster {
	return &roster{self: self, members: map[string]*member{}, gone: map[string]uint64{}}
}

// scan takes over all rows as read at a time, and returns the rows that are to
// be removed.
func (r *roster) scan(now time.Duration, rows []row) []row {
	unbroken := r.scanned && now-r.lastScan <= scanGap
	found := map[string]bool{}
	var dead []row
	for _, w := range rows {
		if w.ID == r.self {
			continue
		}
		found[w.ID] = true
		if r.see(now, w, unbroken) {
			dead = append(dead, w)
		}
	}
	r.expire(now, found)
	r.known, r.scanned, r.lastScan = true, true, now
	return dead
}

// see takes over one row and reports whether it is to be removed.
func (r *roster) see(now time.Duration, w row, unbroken bool) bool {
	if r.gone[w.ID] == w.version {
		return false
	}
	delete(r.gone, w.ID)
	m := r.member(w.ID)
	if m.rowVersion != w.version {
		m.rowVersion, m.rowSince = w.version, now
		m.addr, m.zone = w.Addr, w.Zone
		return false
	}
	if !unbroken {
		m.rowSince = now
	}
	return now-m.rowSince > RowLifetime && !m.heardWithin(now, PresenceLease)
}

// expire drops the entries that are neither in a scanned row nor heard.
func (r *roster) expire(now time.Duration, found map[string]bool) {
	for id, m := range r.members {
		if !found[id] {
			m.rowVersion = 0
			if !m.present(now) {
				delete(r.members, id)
			}
		}
	}
	for id := range r.gone {
		if !found[id] {
			delete(r.gone, id)
		}
	}
}

func (r *roster) member(id string) *member {
	m, ok := r.members[id]
	if !ok {
		m = &member{id: id}
		r.members[id] = m
	}
	return m
}

// meet takes over an entry that was named by another one.
func (r *roster) meet(id, addr string) {
	if id == "" || id == r.self || addr == "" {
		return
	}
	m := r.member(id)
	if m.addr == "" {
		m.addr = addr
	}
}

// answered takes over a peer's answer to a request that was sent at a time.
func (r *roster) answered(sent time.Duration, s *rpc.PeerState) {
	if s.EntryId == "" || s.EntryId == r.self {
		return
	}
	if !r.received(s) {
		return
	}
	m := r.member(s.EntryId)
	if !m.ever || sent > m.heard {
		m.heard, m.ever = sent, true
	}
}

// received takes over a report whose age is not known. It returns false when
// the peer has left.
func (r *roster) received(s *rpc.PeerState) bool {
	if s.EntryId == "" || s.EntryId == r.self {
		return false
	}
	r.highest = max(r.highest, s.OwnerEpoch)
	if s.RpcAddress == "" {
		r.leave(s.EntryId)
		return false
	}
	m := r.member(s.EntryId)
	m.addr, m.state = s.RpcAddress, s
	return true
}

// leave drops an entry that stops as planned.
func (r *roster) leave(id string) {
	if m, ok := r.members[id]; ok {
		r.gone[id] = m.rowVersion
		delete(r.members, id)
	}
}

// list returns the members in order of id.
func (r *roster) list() []*member {
	out := make([]*member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// watching reports whether the rows are being scanned, so that silence tells.
func (r *roster) watching(now time.Duration) bool {
	return r.scanned && now-r.lastScan <= scanGap
}

// entries returns the members that agents should link to.
func (r *roster) entries(now time.Duration) []*member {
	var out []*member
	for _, m := range r.list() {
		if m.addr != "" && (!r.watching(now) || m.present(now)) {
			out = append(out, m)
		}
	}
	return out
}

// peers returns the members as the rule for starting work needs them.
func (r *roster) peers(now time.Duration) []confstate.Peer {
	var out []confstate.Peer
	for _, m := range r.entries(now) {
		p := confstate.Peer{ID: m.id, Heard: m.heard, Ever: m.ever}
		p.StoreFailing = m.state != nil && m.state.StoreFailing
		out = append(out, p)
	}
	return out
}
