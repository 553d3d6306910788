package agent

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/exec"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// fakeMinion answers each call with reply and err after release is closed.
type fakeMinion struct {
	reply   external.MinionReply
	err     error
	release chan struct{}
}

func (m *fakeMinion) Call(context.Context, external.MinionRequest) (external.MinionReply, error) {
	<-m.release
	return m.reply, m.err
}

func (m *fakeMinion) Healthy(context.Context) error { return nil }

// newTestHost returns a host with one slot whose agent is linked with entry "e".
func newTestHost(m *fakeMinion) (*requestHost, *session) {
	m.release = make(chan struct{})
	a := New(Config{ID: "a", Kind: KindMinion, Slots: 1}, m, nil, metrics.NewRegistry(), zerolog.Nop())
	s := &session{entry: "e", outgoing: make(chan *rpc.AgentMessage, 100), cancel: func() {}}
	l := &link{agent: a}
	l.setSession(s)
	a.links.links["e"] = l
	a.healthy = true
	a.permission = startPermission{version: 1, validUntil: time.Hour}
	a.requests.linkUp("e")
	return a.requests, s
}

func newExecute(h *requestHost, id string) *rpc.Execute {
	body := []byte("body")
	return &rpc.Execute{
		RequestId:   id,
		Attempt:     1,
		Incarnation: h.agent.incarnation,
		StampMs:     h.agent.now().Milliseconds(),
		PermitMs:    1000,
		TimeoutMs:   60000,
		Body:        body,
		Digest:      rpc.Digest(body),
		Length:      int64(len(body)),
	}
}

func receiveResult(t *testing.T, s *session) *rpc.RequestResult {
	t.Helper()
	select {
	case m := <-s.outgoing:
		return m.GetResult()
	case <-time.After(10 * time.Second):
		t.Fatal("no result within 10s")
		return nil
	}
}

func (h *requestHost) keptBodies(id string) (request, reply bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.bodies[exec.Ref{ID: id, Attempt: 1}]
	if kept == nil {
		return false, false
	}
	return kept.request.Body != nil, kept.reply != nil
}

func TestBodiesAreDroppedWhenNoLongerNeeded(t *testing.T) {
	h, s := newTestHost(&fakeMinion{reply: external.MinionReply{Status: 200, Body: []byte("answer")}})
	for _, id := range []string{"runs", "waits", "refused", "refused"} {
		h.execute("e", newExecute(h, id))
	}
	for range 2 {
		if got := receiveResult(t, s); got.RequestId != "refused" || got.Outcome != rpc.Outcome_OUTCOME_NOT_RUN {
			t.Fatalf("result %v, want not-run for the request beyond the slot and the queue", got)
		}
	}
	if request, _ := h.keptBodies("refused"); request {
		t.Error("the body of a refused request is kept")
	}
	close(h.minion.(*fakeMinion).release)
	if got := receiveResult(t, s); got.RequestId != "runs" || string(got.Body) != "answer" {
		t.Fatalf("result %v, want the answer of the first request", got)
	}
	if request, reply := h.keptBodies("runs"); request || !reply {
		t.Errorf("after the call the request's body is kept: %t, the answer: %t; want the answer alone", request, reply)
	}
}

func TestBodyOfACallWithoutAnswerIsDropped(t *testing.T) {
	h, s := newTestHost(&fakeMinion{err: external.ErrUnavailable})
	h.execute("e", newExecute(h, "lost"))
	close(h.minion.(*fakeMinion).release)
	if got := receiveResult(t, s); got.Outcome != rpc.Outcome_OUTCOME_UNKNOWN {
		t.Fatalf("result %v, want unknown", got)
	}
	h.execute("e", newExecute(h, "lost"))
	if request, _ := h.keptBodies("lost"); request {
		t.Error("the body of a call that has ended is kept")
	}
}

func TestOversizedReplyIsReportedAsFailure(t *testing.T) {
	h, s := newTestHost(&fakeMinion{reply: external.MinionReply{Status: 200, Body: make([]byte, rpc.MaxBodyBytes+1)}})
	h.execute("e", newExecute(h, "large"))
	close(h.minion.(*fakeMinion).release)
	got := receiveResult(t, s)
	if got.Outcome != rpc.Outcome_OUTCOME_FAILED || got.Status != 0 || len(got.Body) > 0 || got.Detail == "" {
		t.Fatalf("result %v with status %d, %d bytes and detail %q; want failed with a detail alone", got.Outcome, got.Status, len(got.Body), got.Detail)
	}
	if size := proto.Size(&rpc.AgentMessage{Body: &rpc.AgentMessage_Result{Result: got}}); size > rpc.MaxMessageBytes {
		t.Fatalf("message of %d bytes", size)
	}
}
