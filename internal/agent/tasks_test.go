package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/sched"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

func doneReport(i, resultBytes int) groups.Report {
	result, _ := json.Marshal([]string{strings.Repeat("x", resultBytes)})
	return groups.Report{
		Ref:    groups.Ref{JobID: fmt.Sprintf("j%d", i), Attempt: 1},
		State:  groups.Done,
		Tasks:  1,
		Result: result,
	}
}

func TestOversizedResultIsReportedAsFailure(t *testing.T) {
	m := reportMessage(doneReport(1, maxResultBytes))
	if m.State != rpc.GroupState_GROUP_STATE_FAILED || len(m.Result) > 0 || m.Detail == "" || m.WorkerFault {
		t.Fatalf("state %v, %d bytes of result, detail %q, worker's fault %t; want a failure of the task with a detail alone",
			m.State, len(m.Result), m.Detail, m.WorkerFault)
	}
}

func TestHelloReportsFitIntoOneMessage(t *testing.T) {
	var list []groups.Report
	for i := range 600 {
		list = append(list, doneReport(i, 20<<10))
	}
	running := groups.Report{Ref: groups.Ref{JobID: "running", Attempt: 1}, State: groups.Running, Tasks: 1}
	hello := &rpc.Hello{AgentId: "a", Groups: helloReports(append(list, running))}
	if size := proto.Size(&rpc.AgentMessage{Body: &rpc.AgentMessage_Hello{Hello: hello}}); size > rpc.MaxMessageBytes {
		t.Errorf("hello of %d bytes (at most %d)", size, rpc.MaxMessageBytes)
	}
	for _, g := range hello.Groups {
		if g.State == rpc.GroupState_GROUP_STATE_DONE && len(g.Result) == 0 {
			t.Fatalf("report of %q is done without its result", g.JobId)
		}
		if g.JobId == "running" {
			return
		}
	}
	t.Errorf("none of the %d reports is that of the running group", len(hello.Groups))
}

// renewalWorker records the last renewal.
type renewalWorker struct {
	external.Worker
	lease      time.Duration
	startBy    time.Time
	hasStartBy bool
}

func (w *renewalWorker) Renew(ctx context.Context, _ []string, leaseMS int64) error {
	w.lease = time.Duration(leaseMS) * time.Millisecond
	w.startBy, w.hasStartBy = external.StartBy(ctx)
	return nil
}

func TestRenewalDelayedByAPauseDoesNotOutliveTheLease(t *testing.T) {
	w := &renewalWorker{}
	a := New(Config{ID: "a", Kind: KindWorker}, nil, w, metrics.NewRegistry(), zerolog.Nop())
	by := a.now() + sched.GroupLease
	a.tasks.renew([]string{"t"}, by)
	if !w.hasStartBy {
		t.Fatal("the renewal may be sent at any time after a pause")
	}
	if end := w.startBy.Add(w.lease); end.After(a.started.Add(by)) {
		t.Errorf("a renewal at the last moment ends %v after the group's lease", end.Sub(a.started.Add(by)))
	}
}
