package ledger

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/juju/errors"
)

func TestLostAnswerIsSettled(t *testing.T) {
	table := newFakeTable()
	c := New(table, Config{})
	ctx := context.Background()
	table.faults = []fault{faultLost}
	rows, err := c.Commit(ctx, CauseJob, Write{Key: "a", Data: json.RawMessage(`1`)})
	if err != nil || rows[0].Version != 1 {
		t.Fatalf("rows %v, error %v", rows, err)
	}
	rows, err = c.Commit(ctx, CauseJob, Write{Key: "a", Data: json.RawMessage(`2`)})
	if !errors.Is(err, ErrConflict) || string(rows[0].Data) != "1" {
		t.Fatalf("rows %v, error %v", rows, err)
	}
}
