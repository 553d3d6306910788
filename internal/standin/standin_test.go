package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/juju/errors"
)

const callTimeout = 5 * time.Second

func serve(t *testing.T, s Service) string {
	t.Helper()
	server, err := Serve("127.0.0.1:0", s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server.URL()
}

func setFaults(t *testing.T, url string, settings FaultSettings) {
	t.Helper()
	body, _ := json.Marshal(settings)
	resp, err := http.Post(url+PathFaults, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("faults: status %d", resp.StatusCode)
	}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}

func TestTableTransactions(t *testing.T) {
	ctx := t.Context()
	table := external.NewTableClient(serve(t, NewTable()), callTimeout)
	value := json.RawMessage(`{"n":1}`)
	put := func(key string, version uint64) external.TxnResult {
		result, err := table.Commit(ctx, external.Txn{
			Conds: []external.Cond{{Key: key, Version: version}},
			Puts:  []external.Row{{Key: key, Value: value}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	if r := put("a/2", 0); !r.Committed || r.Rows[0].Version != 1 {
		t.Fatalf("first write: %+v", r)
	}
	if r := put("a/2", 0); r.Committed || r.Rows[0].Version != 1 || string(r.Rows[0].Value) != string(value) {
		t.Fatalf("failed condition: %+v", r)
	}
	put("a/1", 0)
	put("b/1", 0)
	rows, err := table.Scan(ctx, "a/", "", 10)
	if err != nil || len(rows) != 2 || rows[0].Key != "a/1" || rows[1].Key != "a/2" {
		t.Fatalf("scan: %v %v", rows, err)
	}
	rows, err = table.Scan(ctx, "a/", "a/1", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "a/2" {
		t.Fatalf("scan after: %v %v", rows, err)
	}
	rows, err = table.Get(ctx, "zz", "a/1")
	if err != nil || rows[0].Version != 0 || rows[0].Key != "zz" || rows[1].Version != 1 {
		t.Fatalf("get: %v %v", rows, err)
	}
}

func TestTableFaults(t *testing.T) {
	ctx := t.Context()
	service := NewTable()
	url := serve(t, service)
	table := external.NewTableClient(url, callTimeout)
	write := external.Txn{Puts: []external.Row{{Key: "k"}}}

	setFaults(t, url, FaultSettings{Down: true})
	if _, err := table.Commit(ctx, write); !errors.Is(err, external.ErrUnavailable) {
		t.Fatalf("down: %v", err)
	}
	if n := service.Stats().Commits; n != 0 {
		t.Fatalf("down: %d commits", n)
	}
	setFaults(t, url, FaultSettings{LoseNext: 1})
	if _, err := table.Commit(ctx, write); !errors.Is(err, external.ErrUnavailable) {
		t.Fatalf("lost answer: %v", err)
	}
	if n := service.Stats().Commits; n != 1 {
		t.Fatalf("lost answer: %d commits", n)
	}
	if _, err := table.Commit(ctx, write); err != nil {
		t.Fatalf("after the lost answer: %v", err)
	}
	setFaults(t, url, FaultSettings{DelayMS: 300})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if _, err := table.Get(short, "k"); !errors.Is(err, external.ErrUnavailable) {
		t.Fatalf("slow: %v", err)
	}
}

func TestObjects(t *testing.T) {
	ctx := t.Context()
	objects := external.NewObjectsClient(serve(t, NewObjects()), callTimeout)
	for _, key := range []string{"plain", "with/slash and space/é%2f"} {
		if _, err := objects.Get(ctx, key); !errors.Is(err, external.ErrNotFound) {
			t.Fatalf("get of absent %q: %v", key, err)
		}
		if err := objects.Put(ctx, key, []byte(key)); err != nil {
			t.Fatal(err)
		}
		if got, err := objects.Get(ctx, key); err != nil || string(got) != key {
			t.Fatalf("get of %q: %q %v", key, got, err)
		}
		if err := objects.Delete(ctx, key); err != nil {
			t.Fatal(err)
		}
	}
}

func TestWorkerTasks(t *testing.T) {
	ctx := t.Context()
	service := NewWorker("w1", api.Resources{Accelerators: 2}, NewObjects())
	worker := external.NewWorkerClient(serve(t, service), callTimeout)
	start := func(id string, payload TaskPayload, leaseMS int64, checkpoint string) external.TaskStatus {
		t.Helper()
		body, _ := json.Marshal(payload)
		status, err := worker.Start(ctx, external.Task{
			ID: id, Resources: api.Resources{Accelerators: 1}, Payload: body, LeaseMS: leaseMS, Checkpoint: checkpoint,
		})
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	state := func(id string) external.TaskStatus {
		list, err := worker.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, status := range list {
			if status.ID == id {
				return status
			}
		}
		return external.TaskStatus{}
	}
	waitForState := func(id string, want external.TaskState) {
		t.Helper()
		eventually(t, id+" is "+string(want), func() bool { return state(id).State == want })
	}

	start("done", TaskPayload{RunMS: 1, Result: json.RawMessage(`7`)}, 60_000, "")
	waitForState("done", external.TaskDone)
	if out := string(state("done").Output); out != "7" {
		t.Fatalf("output %s", out)
	}
	if again := start("done", TaskPayload{RunMS: 60_000}, 60_000, ""); again.State != external.TaskDone {
		t.Fatalf("same ID started twice: %+v", again)
	}
	start("fails", TaskPayload{Fail: "broken"}, 60_000, "")
	waitForState("fails", external.TaskFailed)
	start("lapses", TaskPayload{RunMS: 60_000}, 30, "")
	waitForState("lapses", external.TaskStopped)

	start("long/1/0", TaskPayload{RunMS: 60_000}, 60_000, "")
	start("other", TaskPayload{RunMS: 60_000}, 60_000, "")
	if full := start("full", TaskPayload{}, 60_000, ""); !full.WorkerFault || full.State != external.TaskFailed {
		t.Fatalf("started above the capacity: %+v", full)
	}
	eventually(t, "progress", func() bool { return state("long/1/0").ProgressMS > 10 })
	saved, err := worker.Checkpoint(ctx, "long/1/0")
	if err != nil || saved.State != external.TaskCheckpointed || saved.Checkpoint == "" {
		t.Fatalf("checkpoint: %+v %v", saved, err)
	}
	resumed := start("long/2/0", TaskPayload{RunMS: 60_000}, 60_000, saved.Checkpoint)
	if resumed.State != external.TaskRunning || resumed.ProgressMS < saved.ProgressMS {
		t.Fatalf("resumed: %+v after %+v", resumed, saved)
	}
	if stopped, err := worker.Stop(ctx, "other"); err != nil || stopped.State != external.TaskStopped {
		t.Fatalf("stop: %+v %v", stopped, err)
	}
	if _, err := worker.Stop(ctx, "nobody"); !errors.Is(err, external.ErrNotFound) {
		t.Fatalf("stop of an unknown task: %v", err)
	}
	service.Set(FaultSettings{FailTasks: "bad memory", WorkerFault: true})
	start("victim", TaskPayload{RunMS: 60_000}, 60_000, "")
	waitForState("victim", external.TaskFailed)
}

func TestMinionAnswers(t *testing.T) {
	ctx := t.Context()
	service := NewMinion("m1", 2)
	url := serve(t, service)
	minion := external.NewMinionClient(url, callTimeout)
	call := func(id, body string) (external.MinionReply, error) {
		return minion.Call(ctx, external.MinionRequest{RequestID: id, Attempt: 1, Body: []byte(body)})
	}
	if err := minion.Healthy(ctx); err != nil {
		t.Fatal(err)
	}
	reply, err := call("r1", `{"size":100000}`)
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("call: %d %v", reply.Status, err)
	}
	var answer MinionAnswer
	if err := json.Unmarshal(reply.Body, &answer); err != nil || answer.RequestID != "r1" || len(answer.Padding) != 100000 {
		t.Fatalf("answer of %d bytes: %v", len(reply.Body), err)
	}
	if reply, err := call("r2", `{"fail":"no"}`); err != nil || reply.Status != http.StatusInternalServerError {
		t.Fatalf("failed call: %d %v", reply.Status, err)
	}
	if _, err := call("r3", `{"cut":true,"size":100000}`); err == nil || errors.Is(err, external.ErrNotSent) {
		t.Fatalf("an answer cut short must be an open outcome: %v", err)
	}
	setFaults(t, url, FaultSettings{LoseNext: 1})
	if _, err := call("r4", ""); err == nil || errors.Is(err, external.ErrNotSent) {
		t.Fatalf("a lost answer must be an open outcome: %v", err)
	}
	stats := service.Stats()
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		if stats.Executions[id] != 1 {
			t.Errorf("%s ran %d times", id, stats.Executions[id])
		}
	}
	unreachable := external.NewMinionClient("http://127.0.0.1:1", callTimeout)
	if _, err := unreachable.Call(ctx, external.MinionRequest{}); !errors.Is(err, external.ErrNotSent) {
		t.Fatalf("refused connection: %v", err)
	}
}

func TestMinionAnswerWithoutLength(t *testing.T) {
	address := rawServer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of the ans")
	minion := external.NewMinionClient("http://"+address, callTimeout)
	_, err := minion.Call(t.Context(), external.MinionRequest{RequestID: "r"})
	if err == nil || !strings.Contains(err.Error(), "without a length") {
		t.Fatalf("answer without a length: %v", err)
	}
}
