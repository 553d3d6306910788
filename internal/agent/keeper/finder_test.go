package keeper

import (
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

// TestSilentEntryDoesNotDelayLocate guards against waiting until locateTimeout for
// an entry that never answers. A late reply with a higher epoch must still win, and
// replies without an owner must not yield one.
func TestSilentEntryDoesNotDelayLocate(t *testing.T) {
	replies := make(chan *rpc.LocateReply, 3)
	replies <- &rpc.LocateReply{OwnerAddress: "old", Epoch: 4}
	go func() {
		time.Sleep(lateReplyTimeout / 3)
		replies <- &rpc.LocateReply{OwnerAddress: "new", Epoch: 5}
	}()
	begin := time.Now()
	best := highestEpochReply(replies, 3)
	if best.GetOwnerAddress() != "new" {
		t.Errorf("took %+v", best)
	}
	if took := time.Since(begin); took > locateTimeout/2 {
		t.Errorf("took %v", took)
	}
	silent := make(chan *rpc.LocateReply, 2)
	silent <- nil
	silent <- &rpc.LocateReply{Epoch: 9}
	if best := highestEpochReply(silent, 2); best != nil {
		t.Errorf("an owner from answers without one: %+v", best)
	}
}
