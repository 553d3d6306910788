package ledger

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// The states of a waiting commit. Its caller withdraws it or the lane sends
// it, never both.
const (
	waiting int32 = iota
	taken
	withdrawn
)

// waiter is a caller's commit in a lane.
type waiter struct {
	*part
	ctx   context.Context
	cause Cause
	state atomic.Int32
	done  chan struct{}
}

// laneName names a queue of commits.
type laneName string

// The lanes. Ownership has one of its own, so that neither a burst of jobs nor
// a change of the configuration delays a renewal.
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

// lane is a bounded queue of commits with its senders. It has one sender with
// group commit: a commit is sent at once when the lane is idle, and those that
// arrive while a transaction is in flight form the next group, as in the
// BatchingEngine of Balakrishnan et al., "Log-structured Protocols in Delos",
// SOSP 2021.
type lane struct {
	client  *Client
	senders int

	mu      sync.Mutex
	queue   []*waiter
	bytes   int
	running int
}

// add queues a waiter and starts a sender if one is free.
func (l *lane) add(w *waiter) error {
	l.mu.Lock()
	cfg := &l.client.cfg
	if len(l.queue) >= cfg.MaxQueue || l.bytes+w.bytes > cfg.MaxQueueBytes {
		l.mu.Unlock()
		return errors.Annotatef(ErrOverloaded, "%d commits wait", cfg.MaxQueue)
	}
	l.queue = append(l.queue, w)
	l.bytes += w.bytes
	start := l.running < l.senders
	if start {
		l.running++
	}
	l.mu.Unlock()
	if start {
		cfg.Spawn(l.run)
	}
	return nil
}

func (l *lane) run() {
	for {
		ws := l.take()
		if ws == nil {
			return
		}
		l.client.send(l, ws)
	}
}

// take removes the next group from the queue. With an empty queue it ends the
// sender and returns nil. A second write of the same key, or a check of a key
// that is written, waits for the next group.
func (l *lane) take() []*waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	cfg := &l.client.cfg
	keys := map[string]use{}
	rows, bytes := 0, 0
	var ws, rest []*waiter
	for i, w := range l.queue {
		if len(ws) > 0 && (rows+len(w.writes) > cfg.MaxGroupRows || bytes+w.bytes > cfg.MaxGroupBytes) {
			rest = append(rest, l.queue[i:]...)
			break
		}
		if overlaps(keys, w.writes) {
			rest = append(rest, w)
			continue
		}
		rows += len(w.writes)
		bytes += w.bytes
		ws = append(ws, w)
	}
	l.queue = rest
	l.bytes -= bytes
	if len(ws) == 0 {
		l.running--
		return nil
	}
	return ws
}

// use is how the commits of a group use a key.
type use int

const (
	unused use = iota
	checked
	written
)

func useOf(w Write) use {
	if w.Check {
		return checked
	}
	return written
}

// overlaps reports whether writes cannot join a group that uses keys already;
// otherwise their keys are added.
func overlaps(keys map[string]use, writes []Write) bool {
	for _, w := range writes {
		if have := keys[w.Key]; have == written || have == checked && !w.Check {
			return true
		}
	}
	for _, w := range writes {
		keys[w.Key] = useOf(w)
	}
	return false
}

// refuse fails all waiting commits; none of them has been sent.
func (l *lane) refuse(err error) {
	l.mu.Lock()
	queue := l.queue
	l.queue, l.bytes = nil, 0
	l.mu.Unlock()
	for _, w := range queue {
		if w.state.CompareAndSwap(waiting, taken) {
			w.finish(err)
		}
	}
}

func (w *waiter) finish(err error) {
	w.end(nil, err)
	close(w.done)
}

func (l *lane) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

func (l *lane) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running == 0 && len(l.queue) == 0
}
