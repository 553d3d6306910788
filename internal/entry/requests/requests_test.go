package requests

import (
	"context"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/entry/links"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/route"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/coltsfootlug/coltsfootlug/internal/standin"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

type alwaysPermitted struct{}

func (alwaysPermitted) Permit() bool         { return true }
func (alwaysPermitted) Current() *api.Config { return &api.Config{Version: 1} }

type singleMember struct{}

func (singleMember) Entries() []*rpc.EntryAddress { return []*rpc.EntryAddress{{Id: "e"}} }

// newTestService returns a service with an empty table and one linked minion
// agent.
func newTestService(t *testing.T, objects external.Objects) (*Service, *ledger.Client) {
	t.Helper()
	table := ledger.New(standin.NewTable(), ledger.Config{})
	srv := links.New(nil, metrics.NewRegistry(), zerolog.Nop())
	cfg := Config{EntryID: "e", MaxRequests: 100, MaxQueue: 100}
	s := New(cfg, srv, alwaysPermitted{}, singleMember{}, table, objects, metrics.NewRegistry(), zerolog.Nop())
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.loops.End)
	a := links.Agent{ID: "a", Incarnation: "1", Kind: rpc.EndpointKind_ENDPOINT_KIND_MINION, Service: "svc", Zone: "z", Slots: 4}
	s.AgentUp(a, nil)
	s.AgentHeartbeat(a, &rpc.AgentHeartbeat{ClockMs: 1, EndpointHealthy: true})
	return s, table
}

func keyedCall(body string) Call {
	return Call{
		Service: "svc",
		Profile: api.Profile{Name: "p", ClientAccount: "acc"},
		Key:     "k",
		Timeout: 10 * time.Second,
		Body:    []byte(body),
	}
}

func putClaim(t *testing.T, l ledger.Ledger, row claimRow) {
	t.Helper()
	write := ledger.Write{Key: claimRowKey("acc", "svc", "k"), Data: ledger.Encode(row)}
	if _, err := l.Commit(context.Background(), ledger.CauseClaim, write); err != nil {
		t.Fatal(err)
	}
}

func TestKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	s, table := newTestService(t, standin.NewObjects())
	putClaim(t, table, claimRow{Digest: rpc.Digest([]byte("first")), Outcome: api.OutcomeDone, Status: 200})
	reply, err := s.Submit(keyedCall("second"))
	if err != nil || reply.Outcome != api.OutcomeNotRun || reply.Reason != ReasonKeyReused {
		t.Fatalf("reply %+v, error %v; want not-run because of %s", reply, err, ReasonKeyReused)
	}
}

// A recorded answer that cannot be read from the object store must not count as a
// failure of the table: the circuit breaker would refuse calls with other keys.
func TestUnreadableRecordedAnswerAffectsNoOtherKey(t *testing.T) {
	s, table := newTestService(t, standin.NewObjects())
	putClaim(t, table, claimRow{Digest: rpc.Digest([]byte("b")), Outcome: api.OutcomeDone, Status: 200, Object: "absent"})
	for range 5 {
		reply, err := s.Submit(keyedCall("b"))
		if err != nil || reply.Outcome != api.OutcomeUnknown || reply.RetryAfter == 0 {
			t.Fatalf("reply %+v, error %v; want unknown with a time to come back", reply, err)
		}
	}
	other := keyedCall("b")
	other.Key, other.Timeout = "other", 300*time.Millisecond
	reply, err := s.Submit(other)
	if err != nil || reply.Reason == route.ReasonStoreUnavailable {
		t.Fatalf("reply %+v, error %v to another key; the table answers", reply, err)
	}
}
