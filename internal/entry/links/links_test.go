package links

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const testTimeout = 20 * time.Second

type noBeat struct{}

func (noBeat) Fill(*rpc.EntryHeartbeat, string, bool) {}

// journal notes which incarnations came and went.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) add(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

func (j *journal) list() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.lines)
}

func (j *journal) AgentUp(a Agent, _ []*rpc.GroupReport)     { j.add("up " + a.Incarnation) }
func (j *journal) AgentDown(a Agent)                         { j.add("down " + a.Incarnation) }
func (j *journal) AgentHeartbeat(Agent, *rpc.AgentHeartbeat) {}
func (j *journal) RequestResult(Agent, *rpc.RequestResult)   {}
func (j *journal) GroupReport(Agent, *rpc.GroupReport)       {}

func newTestServer() (*Server, *journal) {
	s, j := New(noBeat{}, metrics.NewRegistry(), zerolog.Nop()), &journal{}
	s.Listen(j)
	return s, j
}

func newTestSession(incarnation string) *session {
	return &session{
		agent:  Agent{ID: "a", Incarnation: incarnation},
		out:    make(chan *rpc.EntryMessage, sessionQueue),
		cancel: func() {},
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// The end of a lost session is still being passed on when the agent's next
// session opens.
func TestAgentIsUpAfterItsNextSessionOpened(t *testing.T) {
	s, j := newTestServer()
	old, next := newTestSession("1"), newTestSession("2")
	if err := s.add(old, nil); err != nil {
		t.Fatal(err)
	}
	old.serial.Lock() // a call of a listener is in progress
	var both sync.WaitGroup
	both.Go(func() { s.remove(old) })
	eventually(t, "the lost session is removed", func() bool { return !s.current(old) })
	added := make(chan struct{})
	both.Go(func() {
		defer close(added)
		if err := s.add(next, nil); err != nil {
			t.Error(err)
		}
	})
	select {
	case <-added:
	case <-time.After(100 * time.Millisecond):
	}
	old.serial.Unlock()
	both.Wait()
	if got, want := j.list(), []string{"up 1", "down 1", "up 2"}; !slices.Equal(got, want) {
		t.Fatalf("listeners heard %q, want %q", got, want)
	}
}
