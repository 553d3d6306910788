package ledger

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// step is what a group needs next.
type step int

const (
	stepSend step = iota // send the transaction
	stepRead             // read the rows, as the answer was lost or tokens are not known
	stepDone
)

// part is one caller's commit within a group.
type part struct {
	token  string
	writes []Write
	bytes  int

	// conds are the versions in the table; they differ from those of writes
	// where a row is a tombstone.
	conds []uint64
	// stamps are the earlier stamps of each row, as far as known.
	stamps [][]stamp
	// versions are those that the writes have given, once the part has committed.
	versions []uint64
	// blind is set while the stamps of a row are not known.
	blind bool
	// doubt is set once an answer that concerns the part was lost.
	doubt bool

	ended bool
	rows  []Row
	err   error
}

func newPart(token string, writes []Write) *part {
	p := &part{token: token, writes: writes, conds: make([]uint64, len(writes)), stamps: make([][]stamp, len(writes))}
	for i, w := range writes {
		p.conds[i] = w.Version
		p.bytes += len(w.Key) + len(w.Data)
	}
	return p
}

func (p *part) end(rows []Row, err error) {
	p.ended = true
	p.rows = rows
	p.err = err
}

// group merges the commits of independent callers into one transaction. It is
// pure: the sender carries out its steps. A part that conflicts is dropped and
// the rest is sent again. After a lost answer the rows are read back: a part
// whose token is there has committed; one whose rows are unchanged is sent
// again under the same conditions, so that it takes effect at most once even
// if the first transaction arrives late; any other has conflicted.
type group struct {
	parts []*part
	next  step
}

func newGroup(parts []*part) *group {
	g := &group{parts: parts}
	for _, p := range parts {
		if p.blind {
			g.next = stepRead
		}
	}
	return g
}

// open returns the parts that have not ended.
func (g *group) open() []*part {
	var out []*part
	for _, p := range g.parts {
		if !p.ended {
			out = append(out, p)
		}
	}
	return out
}

func (g *group) step() step {
	if len(g.open()) == 0 {
		return stepDone
	}
	return g.next
}

func (g *group) keys() []string {
	var keys []string
	seen := map[string]bool{}
	for _, p := range g.open() {
		for _, w := range p.writes {
			if !seen[w.Key] {
				seen[w.Key] = true
				keys = append(keys, w.Key)
			}
		}
	}
	return keys
}

// txn returns the transaction to send.
func (g *group) txn() external.Txn {
	var txn external.Txn
	seen := map[external.Cond]bool{}
	for _, p := range g.open() {
		for i, w := range p.writes {
			cond := external.Cond{Key: w.Key, Version: p.conds[i]}
			if !seen[cond] {
				seen[cond] = true
				txn.Conds = append(txn.Conds, cond)
			}
			if !w.Check {
				txn.Puts = append(txn.Puts, external.Row{Key: w.Key, Value: p.value(i)})
			}
		}
	}
	return txn
}

func (p *part) value(i int) json.RawMessage {
	w := p.writes[i]
	e := envelope{Stamps: appendStamp(p.stamps[i], stamp{p.token, p.conds[i]}), Deleted: w.Delete, Data: w.Data}
	if w.Delete {
		e.Data = nil
	}
	// An envelope of valid JSON data always encodes; Commit checks the data.
	v, _ := json.Marshal(e)
	return v
}

// lost says that the transaction got no answer.
func (g *group) lost() {
	for _, p := range g.open() {
		p.doubt = true
	}
	g.next = stepRead
}

// committed brings the written rows.
func (g *group) committed(rows []external.Row) {
	versions := make(map[string]uint64, len(rows))
	for _, r := range rows {
		versions[r.Key] = r.Version
	}
	for _, p := range g.open() {
		p.end(p.written(versions), nil)
	}
}

func (p *part) written(versions map[string]uint64) []Row {
	out := make([]Row, len(p.writes))
	p.versions = make([]uint64, len(p.writes))
	for i, w := range p.writes {
		p.versions[i] = versions[w.Key]
		out[i] = Row{Key: w.Key}
		switch {
		case w.Check:
			out[i].Version = w.Version
		case !w.Delete:
			out[i].Version = versions[w.Key]
		}
	}
	return out
}

// current brings the rows of all keys as they are now, after a failed
// condition or a read-back.
func (g *group) current(rows []stored) {
	byKey := make(map[string]stored, len(rows))
	for _, r := range rows {
		byKey[r.key] = r
	}
	for _, p := range g.open() {
		p.judge(byKey)
	}
	g.next = stepSend
}

// judge ends the part if the rows tell its outcome.
func (p *part) judge(rows map[string]stored) {
	if p.doubt && p.found(rows) {
		p.end(p.settledRows(rows), nil)
		return
	}
	changed, unclear := false, false
	for i, w := range p.writes {
		r := rows[w.Key]
		if r.version == p.conds[i] {
			p.stamps[i] = r.Stamps
			continue
		}
		unclear = unclear || p.doubt && !w.Check && !r.covers(p.conds[i])
		if w.Version == 0 && r.absent() {
			p.conds[i], p.stamps[i] = r.version, r.Stamps
			continue
		}
		changed = true
	}
	switch {
	case unclear:
		p.end(nil, errors.Annotatef(ErrOutcomeUnknown, "row %q has had more writes than it remembers", p.writes[0].Key))
	case changed:
		p.end(p.currentRows(rows), errors.Annotatef(ErrConflict, "row %q", p.firstChanged(rows)))
	}
}

// found reports whether any row shows the part's token. A transaction writes
// all rows or none, so one is enough.
func (p *part) found(rows map[string]stored) bool {
	for _, w := range p.writes {
		if !w.Check && rows[w.Key].has(p.token) {
			return true
		}
	}
	return false
}

// settledRows returns the versions that the part's own write has given.
func (p *part) settledRows(rows map[string]stored) []Row {
	versions := make(map[string]uint64, len(p.writes))
	for i, w := range p.writes {
		versions[w.Key] = rows[w.Key].versionOf(p.token, p.conds[i])
	}
	return p.written(versions)
}

// versionOf returns the version at which the token was written, or def if the
// row no longer remembers it. A version that is too old lets the next write of
// the row conflict, which brings the current one.
func (s stored) versionOf(token string, def uint64) uint64 {
	for i, t := range s.Stamps {
		switch {
		case t.Token != token:
			continue
		case i+1 < len(s.Stamps):
			return s.Stamps[i+1].Replaced
		default:
			return s.version
		}
	}
	return def
}

func (p *part) currentRows(rows map[string]stored) []Row {
	out := make([]Row, len(p.writes))
	for i, w := range p.writes {
		out[i] = rows[w.Key].row()
		out[i].Key = w.Key
	}
	return out
}

func (p *part) firstChanged(rows map[string]stored) string {
	for i, w := range p.writes {
		if rows[w.Key].version != p.conds[i] {
			return w.Key
		}
	}
	return p.writes[0].Key
}
