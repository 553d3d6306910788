package standin

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/juju/errors"
)

func TestCallAfterItsPermissionIsNotSent(t *testing.T) {
	minion := NewMinion("m", 2)
	server, err := Serve("127.0.0.1:0", minion)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	c := external.NewMinionClient(server.URL(), 5*time.Second)
	for _, late := range []bool{false, true, false, true} {
		startBy := time.Now().Add(time.Minute)
		if late {
			startBy = time.Now().Add(-time.Millisecond)
		}
		ctx := external.WithStartBy(context.Background(), startBy)
		reply, err := c.Call(ctx, external.MinionRequest{RequestID: "r", Body: []byte("{}")})
		if late && !errors.Is(err, external.ErrNotSent) {
			t.Errorf("call after its permission: %v, %v; want ErrNotSent", reply.Status, err)
		}
		if !late && (err != nil || reply.Status != 200) {
			t.Errorf("call in time: %v, %v", reply.Status, err)
		}
	}
	if n := minion.Stats().Executions["r"]; n != 2 {
		t.Errorf("%d executions, want 2", n)
	}
}
