package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// States of a queued commit. It is either withdrawn by its caller or taken by the
// lane's sender, never both. The sender takes it directly before the first byte of
// its transaction is written, so a commit that waits for a connection, a budget or a
// read can still be withdrawn.
const (
	stateQueued int32 = iota
	stateTaken
	stateWithdrawn
)

// queuedCommit is a caller's commit in a lane.
type queuedCommit struct {
	*commitRequest
	ctx   context.Context
	cause Cause
	// sendBy is the time after which the commit is not sent any more; zero for none.
	sendBy time.Time
	state  atomic.Int32
	done   chan struct{}
}

// laneName identifies a lane.
type laneName string

// The lanes. Ownership has its own lane, so that neither a burst of jobs nor a
// configuration change delays its renewal.
const (
	laneOwner  laneName = "owner"
	laneConfig laneName = "config"
	laneBulk   laneName = "bulk"
)

var laneNames = []laneName{laneOwner, laneConfig, laneBulk}

func laneOf(cause Cause) laneName {
	switch cause {
	case CauseOwner, CausePresence:
		return laneOwner
	case CauseConfig:
		return laneConfig
	default:
		return laneBulk
	}
}

// lane is a bounded queue of commits with its senders. With group commit it has one
// sender: a commit is sent immediately if the lane is idle, and commits that arrive
// while a transaction is in flight form the next group, as in the BatchingEngine of
// Balakrishnan et al., "Log-structured Protocols in Delos", SOSP 2021.
type lane struct {
	client  *Client
	senders int

	mu            sync.Mutex
	queue         []*queuedCommit
	bytes         int
	activeSenders int
}

// enqueue adds a commit to the queue and starts a sender if one is free. It returns
// ErrOverloaded if the queue is full.
func (l *lane) enqueue(qc *queuedCommit) error {
	l.mu.Lock()
	cfg := &l.client.cfg
	if len(l.queue) >= cfg.MaxQueue || l.bytes+qc.bytes > cfg.MaxQueueBytes {
		l.mu.Unlock()
		return errors.Annotatef(ErrOverloaded, "%d commits wait", cfg.MaxQueue)
	}
	l.queue = append(l.queue, qc)
	l.bytes += qc.bytes
	start := l.activeSenders < l.senders
	if start {
		l.activeSenders++
	}
	l.mu.Unlock()
	if start {
		cfg.Spawn(l.runSender)
	}
	return nil
}

func (l *lane) runSender() {
	for {
		commits := l.nextGroup()
		if commits == nil {
			return
		}
		l.client.sendGroup(l, commits)
	}
}

// nextGroup removes the next group from the queue. If the queue is empty it returns
// nil, and the calling sender counts as ended. A second write of a key, or a check
// of a key that the group writes, waits for a later group.
func (l *lane) nextGroup() []*queuedCommit {
	l.mu.Lock()
	defer l.mu.Unlock()
	cfg := &l.client.cfg
	keys := map[string]keyUse{}
	var size groupSize
	var commits, remaining []*queuedCommit
	for i, qc := range l.queue {
		next := size.with(qc, keys)
		if len(commits) > 0 && next.exceeds(cfg) {
			remaining = append(remaining, l.queue[i:]...)
			break
		}
		if overlaps(keys, qc.writes) {
			remaining = append(remaining, qc)
			continue
		}
		size = next
		commits = append(commits, qc)
	}
	l.queue = remaining
	l.bytes -= size.bytes
	if len(commits) == 0 {
		l.activeSenders--
		return nil
	}
	return commits
}

// groupSize is the size of the transaction of a group.
type groupSize struct {
	rows  int // writes and checks, counted for each commit
	bytes int
	// entries counts a condition for each key and a write or delete for each key
	// that is not only checked.
	entries int
}

// with returns the size with one more commit. keys are the keys that the group uses.
func (s groupSize) with(qc *queuedCommit, keys map[string]keyUse) groupSize {
	s.rows += len(qc.writes)
	s.bytes += qc.bytes
	for _, w := range qc.writes {
		switch {
		case !w.Check:
			s.entries += 2
		case keys[w.Key] == keyUnused:
			s.entries++
		}
	}
	return s
}

func (s groupSize) exceeds(cfg *Config) bool {
	return s.rows > cfg.MaxGroupRows || s.bytes > cfg.MaxGroupBytes || cfg.MaxGroupEntries > 0 && s.entries > cfg.MaxGroupEntries
}

// keyUse is the use of a key by the commits of a group.
type keyUse int

const (
	keyUnused keyUse = iota
	keyChecked
	keyWritten
)

func keyUseOf(w Write) keyUse {
	if w.Check {
		return keyChecked
	}
	return keyWritten
}

// overlaps reports whether writes cannot join a group because of the keys that it
// already uses. If they can join, overlaps adds their keys to the group's.
func overlaps(keys map[string]keyUse, writes []Write) bool {
	for _, w := range writes {
		if have := keys[w.Key]; have == keyWritten || have == keyChecked && !w.Check {
			return true
		}
	}
	for _, w := range writes {
		keys[w.Key] = keyUseOf(w)
	}
	return false
}

// refuseQueued fails all queued commits. None of them has been sent.
func (l *lane) refuseQueued(err error) {
	l.mu.Lock()
	queue := l.queue
	l.queue, l.bytes = nil, 0
	l.mu.Unlock()
	for _, qc := range queue {
		if qc.state.CompareAndSwap(stateQueued, stateTaken) {
			qc.fail(err)
		}
	}
}

func (qc *queuedCommit) fail(err error) {
	qc.end(nil, err)
	close(qc.done)
}

func (l *lane) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

func (l *lane) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeSenders == 0 && len(l.queue) == 0
}
