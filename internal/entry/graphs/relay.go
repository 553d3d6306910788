package graphs

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlug/coltsfootlug/internal/graph"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// relayTimeout bounds one call to another entry, so that a second attempt
	// fits into the usual timeout of callers.
	relayTimeout = 700 * time.Millisecond
	// maxRelayAttempts is the maximum number of entries tried for one request.
	maxRelayAttempts = 2
	// failedPeerBackoff is how long an entry that did not answer is ranked behind
	// the others.
	failedPeerBackoff = 5 * time.Second
)

// The verbs of relayed requests.
const (
	verbSubmit = "submit"
	verbLookup = "lookup"
	verbCancel = "cancel"
)

// Peers relays requests to other entries. It tries the owner first, which is
// known to reach the table, then the entries named in the host's settings.
type Peers struct {
	self  string
	seeds []string
	owner Ownership
	log   zerolog.Logger

	pool rpc.Pool

	mu       sync.Mutex
	failedAt map[string]time.Time // time of the last failure, by address
}

var _ Relay = (*Peers)(nil)

// NewPeers returns a relay for the entry with the address self.
func NewPeers(self string, seeds []string, o Ownership, log zerolog.Logger) *Peers {
	return &Peers{self: self, seeds: seeds, owner: o, log: log, failedAt: map[string]time.Time{}}
}

// minRelayTime is the remaining time of a caller below which a request is not sent to
// another entry: a write there takes at least minWriteTime.
const minRelayTime = 2 * minWriteTime

// Forward sends the request to other entries in turn until one serves it.
func (p *Peers) Forward(ctx context.Context, verb string, call Call, job *graph.Job, minConfigVersion uint64) (Answer, bool) {
	request := &rpc.RelayRequest{Verb: verb, Host: call.Host, Path: call.Path, Key: call.Key, LeastVersion: minConfigVersion}
	if job != nil {
		data, err := json.Marshal(job)
		if err != nil {
			p.log.Error().Err(err).Msg("failed to encode job for relay")
			return Answer{}, false
		}
		request.Job = data
	}
	result := relayResult{verb: verb}
	for _, address := range p.candidates() {
		if timeLeft(ctx) < minRelayTime {
			break
		}
		request.WaitMs = waitForRelay(ctx, call).Milliseconds()
		reply, sent, err := p.relayTo(ctx, address, request)
		if newFailure := p.recordResult(address, err); newFailure {
			p.log.Warn().Err(err).Str("entry", address).Bool("sent", sent).Str("verb", verb).Str("path", call.Path).Msg("failed to relay request to entry")
		}
		if err != nil {
			result.recordFailure(sent)
			continue
		}
		if a := answerFromReply(reply); result.recordAnswer(a) {
			return a, true
		}
	}
	return result.result()
}

// timeLeft returns the time until the end of a context, which must have one.
func timeLeft(ctx context.Context) time.Duration {
	end, _ := ctx.Deadline()
	return time.Until(end)
}

// waitForRelay returns how long the caller of a relayed request still waits.
func waitForRelay(ctx context.Context, call Call) time.Duration {
	return min(call.wait(), timeLeft(ctx)+answerMargin)
}

// recordResult records whether an entry has answered. newFailure is true if the
// call failed and the entry had no failure within failedPeerBackoff before.
func (p *Peers) recordResult(address string, err error) (newFailure bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.failedAt, address)
		return false
	}
	last, failing := p.failedAt[address]
	p.failedAt[address] = time.Now()
	return !failing || time.Since(last) > failedPeerBackoff
}

func (p *Peers) candidates() []string {
	var addresses []string
	for _, address := range append([]string{p.owner.Current().OwnerAddr}, p.seeds...) {
		skip := address == "" || address == p.self
		for _, other := range addresses {
			skip = skip || address == other
		}
		if !skip {
			addresses = append(addresses, address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(addresses, func(a, b string) int { return p.failureRank(a) - p.failureRank(b) })
	return addresses[:min(len(addresses), maxRelayAttempts)]
}

// failureRank returns 1 for an entry that failed within failedPeerBackoff,
// otherwise 0. The caller holds the lock.
func (p *Peers) failureRank(address string) int {
	if at, ok := p.failedAt[address]; ok && time.Since(at) < failedPeerBackoff {
		return 1
	}
	return 0
}

// relayTo relays a request to one entry. If it fails, sent tells whether the request
// may have reached the entry.
func (p *Peers) relayTo(ctx context.Context, address string, r *rpc.RelayRequest) (reply *rpc.RelayReply, sent bool, err error) {
	client, err := p.pool.Fleet(address)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	ctx, state := rpc.TrackSend(ctx)
	reply, err = client.Relay(ctx, r)
	return reply, state.Sent(), err
}

func answerFromReply(r *rpc.RelayReply) Answer {
	a := Answer{Outcome: Outcome(r.Outcome), RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond, Detail: r.Detail, State: graph.State(r.State), ConfigVersion: r.Version}
	if r.HasPending {
		n := int(r.Pending)
		a.Pending = &n
	}
	return a
}

// serveRelayed serves a request relayed by another entry.
func serveRelayed(f *Front, r *rpc.RelayRequest) (*rpc.RelayReply, error) {
	call := Call{Host: r.Host, Path: r.Path, Key: r.Key, Wait: min(time.Duration(r.WaitMs)*time.Millisecond, relayTimeout), MinConfigVersion: r.LeastVersion}
	var answer Answer
	switch r.Verb {
	case verbSubmit:
		answer = f.SubmitLocal(call, func() (*graph.Job, error) { return decodeRelayedJob(r) })
	case verbLookup:
		answer = f.LookupLocal(call)
	case verbCancel:
		answer = f.CancelLocal(call)
	default:
		return nil, status.Errorf(codes.InvalidArgument, "verb %q does not exist", r.Verb)
	}
	reply := &rpc.RelayReply{Outcome: int32(answer.Outcome), RetryAfterMs: answer.RetryAfter.Milliseconds(), Detail: answer.Detail, State: string(answer.State), Version: answer.ConfigVersion}
	if answer.Pending != nil {
		reply.HasPending, reply.Pending = true, int64(*answer.Pending)
	}
	return reply, nil
}

// decodeRelayedJob decodes and checks the job of a submission that another entry relays.
func decodeRelayedJob(r *rpc.RelayRequest) (*graph.Job, error) {
	job := &graph.Job{}
	if err := json.Unmarshal(r.Job, job); err != nil {
		return nil, errors.NotValidf("relayed job: %v", err)
	}
	return job, errors.Annotate(job.ValidateStored(), "relayed job")
}
