package requests

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// hungLedger answers no read before release is closed.
type hungLedger struct {
	ledger.Ledger
	release chan struct{}
}

func (l hungLedger) Get(context.Context, ledger.Cause, ...string) ([]ledger.Row, error) {
	<-l.release
	return nil, ledger.ErrDown
}

// A call waits for its lookup behind the read in progress. If that read hangs, the
// call must still be answered at its own timeout.
func TestLookupEndsAtCallTimeout(t *testing.T) {
	s, _ := newTestService(t, nil)
	release := make(chan struct{})
	defer close(release)
	s.claims.lookups.ledger = hungLedger{release: release}
	call := keyedCall("b")
	call.Timeout = 50 * time.Millisecond
	answer := make(chan Reply, 1)
	go func() {
		reply, _ := s.Submit(call)
		answer <- reply
	}()
	select {
	case reply := <-answer:
		if reply.Outcome != api.OutcomeUnknown {
			t.Fatalf("reply %+v, want unknown", reply)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("a call with a timeout of %v has no answer after 10s", call.Timeout)
	}
}
