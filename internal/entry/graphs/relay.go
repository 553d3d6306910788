package graphs

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// relayTimeout bounds one try at another entry, so that a second one fits
	// into the time that callers usually wait.
	relayTimeout = 700 * time.Millisecond
	// maxRelayTries bounds the entries that are tried for one request.
	maxRelayTries = 2
	// failedFor is how long an entry that did not answer is tried last.
	failedFor = 5 * time.Second
)

// The verbs of relayed requests.
const (
	verbSubmit = "submit"
	verbLookup = "lookup"
	verbCancel = "cancel"
)

// Peers relays requests to other entries: the owner first, which is known to
// reach the table, then those that the host's settings name.
type Peers struct {
	self  string
	seeds []string
	owner Ownership
	log   zerolog.Logger

	pool rpc.Pool

	mu     sync.Mutex
	failed map[string]time.Time // when an entry last failed to answer
}

var _ Relay = (*Peers)(nil)

// NewPeers returns a relay of the entry at self.
func NewPeers(self string, seeds []string, o Ownership, log zerolog.Logger) *Peers {
	return &Peers{self: self, seeds: seeds, owner: o, log: log, failed: map[string]time.Time{}}
}

// Forward asks other entries, one after the other.
func (p *Peers) Forward(ctx context.Context, verb string, call Call, job *graph.Job, least uint64) (Answer, bool) {
	request := &rpc.RelayRequest{Verb: verb, Host: call.Host, Path: call.Path, Key: call.Key, WaitMs: call.Wait.Milliseconds(), LeastVersion: least}
	if job != nil {
		data, err := json.Marshal(job)
		if err != nil {
			p.log.Error().Err(err).Msg("job cannot be relayed")
			return Answer{}, false
		}
		request.Job = data
	}
	for _, address := range p.candidates() {
		reply, err := p.ask(ctx, address, request)
		if news := p.note(address, err); news {
			p.log.Warn().Err(err).Str("entry", address).Str("verb", verb).Str("path", call.Path).Msg("request not relayed")
		}
		if err == nil {
			return answerOf(reply), true
		}
		if mayHaveRun(err) && verb != verbLookup {
			return Answer{Outcome: Unknown, Detail: "another entry did not answer"}, true
		}
	}
	return Answer{}, false
}

// note remembers whether an entry has answered, and reports whether it has just
// begun to fail.
func (p *Peers) note(address string, err error) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.failed, address)
		return false
	}
	last, failing := p.failed[address]
	p.failed[address] = time.Now()
	return !failing || time.Since(last) > failedFor
}

// mayHaveRun reports whether the other entry may have taken the request.
func mayHaveRun(err error) bool { return status.Code(err) == codes.DeadlineExceeded }

func (p *Peers) candidates() []string {
	var out []string
	for _, a := range append([]string{p.owner.Current().OwnerAddr}, p.seeds...) {
		known := a == "" || a == p.self
		for _, o := range out {
			known = known || a == o
		}
		if !known {
			out = append(out, a)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int { return p.recency(a) - p.recency(b) })
	return out[:min(len(out), maxRelayTries)]
}

// recency is 1 for an entry that has failed lately, else 0. The caller holds
// the lock.
func (p *Peers) recency(address string) int {
	if at, ok := p.failed[address]; ok && time.Since(at) < failedFor {
		return 1
	}
	return 0
}

func (p *Peers) ask(ctx context.Context, address string, r *rpc.RelayRequest) (*rpc.RelayReply, error) {
	client, err := p.pool.Fleet(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return client.Relay(ctx, r)
}

func answerOf(r *rpc.RelayReply) Answer {
	a := Answer{Outcome: Outcome(r.Outcome), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond, Detail: r.Detail, State: graph.State(r.State), ConfigVersion: r.Version}
	if r.HasPending {
		n := int(r.Pending)
		a.Pending = &n
	}
	return a
}

// serveRelayed serves a request of another entry's caller.
func serveRelayed(f *Front, r *rpc.RelayRequest) (*rpc.RelayReply, error) {
	call := Call{Host: r.Host, Path: r.Path, Key: r.Key, Wait: min(time.Duration(r.WaitMs)*time.Millisecond, relayTimeout), MinConfigVersion: r.LeastVersion}
	var a Answer
	switch r.Verb {
	case verbSubmit:
		a = f.SubmitLocal(call, func() (*graph.Job, error) {
			job := &graph.Job{}
			err := json.Unmarshal(r.Job, job)
			return job, err
		})
	case verbLookup:
		a = f.LookupLocal(call)
	case verbCancel:
		a = f.CancelLocal(call)
	default:
		return nil, status.Errorf(codes.InvalidArgument, "verb %q does not exist", r.Verb)
	}
	out := &rpc.RelayReply{Outcome: int32(a.Outcome), RetryAfterMs: a.RetryAfter.Milliseconds(), Detail: a.Detail, State: string(a.State), Version: a.ConfigVersion}
	if a.Pending != nil {
		out.HasPending, out.Pending = true, int64(*a.Pending)
	}
	return out, nil
}
