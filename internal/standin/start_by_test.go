package standin

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/juju/errors"
)

// TestCallNotSentAfterStartBy guards against a minion call that is sent after
// the permission to start it has expired, also on a connection that is reused.
func TestCallNotSentAfterStartBy(t *testing.T) {
	minion := NewMinion("m", 2)
	server, err := Serve("127.0.0.1:0", minion)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := external.NewMinionClient(server.URL(), 5*time.Second)
	for _, expired := range []bool{false, true, false, true} {
		startBy := time.Now().Add(time.Minute)
		if expired {
			startBy = time.Now().Add(-time.Millisecond)
		}
		ctx := external.WithStartBy(context.Background(), startBy)
		reply, err := client.Call(ctx, external.MinionRequest{RequestID: "r", Body: []byte("{}")})
		if expired && !errors.Is(err, external.ErrNotSent) {
			t.Errorf("call after its start-by time: %v, %v; want ErrNotSent", reply.Status, err)
		}
		if !expired && (err != nil || reply.Status != 200) {
			t.Errorf("call before its start-by time: %v, %v", reply.Status, err)
		}
	}
	if n := minion.Stats().Executions["r"]; n != 2 {
		t.Errorf("%d executions, want 2", n)
	}
}
