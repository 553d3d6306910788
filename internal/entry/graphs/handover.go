package graphs

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/coltsfootlug/coltsfootlug/internal/kernel"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
	"github.com/coltsfootlug/coltsfootlug/internal/owner"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
)

const (
	// handoverPollInterval is the time between two looks at the owner's table.
	handoverPollInterval = 100 * time.Millisecond
	// rejectedLimit and outageLimit are how long the table may reject every
	// call at once, or answer none, before an owner looks for a successor. One
	// connection that is silent stays below; a slow table may not, which is why
	// a successor has to be prompt.
	rejectedLimit = 300 * time.Millisecond
	outageLimit   = time.Second
	// handoverCallTimeout bounds one question to another entry.
	handoverCallTimeout = 250 * time.Millisecond
	// promptReadTimeout is how soon the table has to answer an entry that is to take
	// over: a slower one would keep its term from beginning for seconds. It is
	// below handoverTimeout and far above a healthy table's few milliseconds.
	promptReadTimeout = 100 * time.Millisecond
)

// Resigner is the ownership that can be given up without the table.
type Resigner interface {
	Current() owner.Authority
	Resign(epoch uint64)
	ObserveResignation(epoch uint64)
}

// TableHealth tells how the table answers this process.
type TableHealth interface {
	Rejected() time.Duration
	Outage() time.Duration
	Get(ctx context.Context, cause ledger.Cause, keys ...string) ([]ledger.Row, error)
}

// Handover gives the ownership to an entry that reaches the table when this one
// does not. While the table fails or is slow for all entries, the owner stays:
// its workers need nothing of the table.
type Handover struct {
	owner       Resigner
	table       TableHealth
	storeOutage func() time.Duration // since when the configuration is not confirmed
	peers       *Peers
	log         zerolog.Logger
	loops       kernel.Loops
}

// NewHandover returns a service that is not running yet.
func NewHandover(o Resigner, t TableHealth, p Policies, peers *Peers, log zerolog.Logger) *Handover {
	return &Handover{owner: o, table: t, storeOutage: p.StoreOutage, peers: peers, log: log}
}

// Start begins to watch the table.
func (h *Handover) Start(context.Context) error {
	h.loops.Begin()
	h.loops.Every(handoverPollInterval, h.handOverIfFailing)
	return nil
}

// Stop ends the watch.
func (h *Handover) Stop(context.Context) error {
	h.loops.End()
	return nil
}

// tableFailing reports whether this process's table has failed for too long.
func (h *Handover) tableFailing() bool {
	return h.table.Rejected() >= rejectedLimit || h.table.Outage() >= outageLimit
}

// handOverIfFailing hands the ownership over if this process owns scheduling without a
// table and another entry has one.
func (h *Handover) handOverIfFailing(ctx context.Context) {
	a := h.owner.Current()
	if !a.Owner || !h.tableFailing() {
		return
	}
	for _, address := range h.peers.candidates() {
		if !h.sendHandOver(ctx, address, a.Epoch, false) {
			continue
		}
		// The term ends here before any other entry may begin one.
		h.owner.Resign(a.Epoch)
		for _, p := range h.peers.candidates() {
			h.sendHandOver(ctx, p, a.Epoch, true)
		}
		return
	}
}

// sendHandOver asks an entry whether it could take over, or tells it that it may.
func (h *Handover) sendHandOver(ctx context.Context, address string, epoch uint64, resigned bool) bool {
	client, err := h.peers.pool.Fleet(address)
	if err != nil {
		h.log.Error().Err(err).Str("entry", address).Msg("address cannot be dialled")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	reply, err := client.HandOver(ctx, &rpc.HandOverRequest{Epoch: epoch, Resigned: resigned})
	return err == nil && reply.Able // an entry that does not answer is no successor
}

// handleHandOver answers another entry's question.
func (h *Handover) handleHandOver(ctx context.Context, r *rpc.HandOverRequest) *rpc.HandOverReply {
	if r.Resigned {
		h.owner.ObserveResignation(r.Epoch)
		return &rpc.HandOverReply{} // told, not asked
	}
	return &rpc.HandOverReply{Able: !h.tableFailing() && h.storeOutage() == 0 && h.tableRespondsPromptly(ctx)}
}

// tableRespondsPromptly reports whether the table answers this process promptly now. What it
// answered earlier says nothing about one that has just become slow.
func (h *Handover) tableRespondsPromptly(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, promptReadTimeout)
	defer cancel()
	_, err := h.table.Get(ctx, ledger.CauseOwner, fenceKey)
	if err != nil {
		h.log.Info().Err(err).Msg("no successor to the owner: the table does not answer promptly")
	}
	return err == nil
}
