package graphs

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

func workerReport(worker string, number uint64) *rpc.WorkerReport {
	return &rpc.WorkerReport{Beat: number, Worker: worker, Instance: "i", Born: 1, Pool: "p", Listed: true, Answering: true}
}

// TestReplacedSessionStaysReplaced guards against old reports of an earlier connection that undo the newer ones.
func TestReplacedSessionStaysReplaced(t *testing.T) {
	term, old, _ := newTestTerm(&fakeOwnership{now: time.Second, ends: time.Hour})
	current := newSession()
	if !term.handleReport(workerReport("w", 1), current, term.clock()) {
		t.Fatal("report of a new connection rejected")
	}
	if term.handleReport(workerReport("w", 2), old, term.clock()) {
		t.Error("report of the replaced connection accepted")
	}
	if term.sessions["w"] != current {
		t.Error("the replaced connection is the current one")
	}
	term.removeSession(current)
	if term.handleReport(workerReport("w", 2), current, term.clock()) {
		t.Error("report of a connection that has ended accepted")
	}
	if term.sessions["w"] != nil {
		t.Error("the connection that has ended is the current one")
	}
}
