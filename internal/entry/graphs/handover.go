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
	// handoverPollInterval is the time between two checks of the owner's table.
	handoverPollInterval = 100 * time.Millisecond
	// rejectedLimit and outageLimit are how long the table may reject all calls
	// immediately, or leave all calls unanswered, before an owner looks for a
	// successor. A single silent connection does not reach these limits. A slow
	// table may, which is why a successor has to read the table promptly.
	rejectedLimit = 300 * time.Millisecond
	outageLimit   = time.Second
	// handoverCallTimeout bounds one HandOver call to another entry.
	handoverCallTimeout = 250 * time.Millisecond
	// promptReadTimeout is the maximum time for a table read by an entry that is
	// to take over: a slower table would delay the start of its term by seconds.
	// It is below handoverCallTimeout and far above the few milliseconds that a
	// healthy table takes.
	promptReadTimeout = 100 * time.Millisecond
)

// Resigner is an ownership that can be given up without access to the table.
type Resigner interface {
	Current() owner.Authority
	Resign(epoch uint64)
	ObserveResignation(epoch uint64)
}

// TableHealth reports how the table responds to this process.
type TableHealth interface {
	Rejected() time.Duration
	Outage() time.Duration
	Get(ctx context.Context, cause ledger.Cause, keys ...string) ([]ledger.Row, error)
}

// Handover transfers the ownership to an entry that can reach the table when this
// one cannot. While the table fails or is slow for all entries, the owner keeps
// the ownership, because its workers do not depend on the table.
type Handover struct {
	owner       Resigner
	table       TableHealth
	storeOutage func() time.Duration // time since the configuration was last confirmed; 0 while the store confirms it
	peers       *Peers
	log         zerolog.Logger
	loops       kernel.Loops
}

// NewHandover returns a Handover that is not running yet.
func NewHandover(o Resigner, t TableHealth, p Policies, peers *Peers, log zerolog.Logger) *Handover {
	return &Handover{owner: o, table: t, storeOutage: p.StoreOutage, peers: peers, log: log}
}

// Start begins to monitor the table.
func (h *Handover) Start(context.Context) error {
	h.loops.Begin()
	h.loops.Every(handoverPollInterval, h.handOverIfFailing)
	return nil
}

// Stop ends the monitoring.
func (h *Handover) Stop(context.Context) error {
	h.loops.End()
	return nil
}

// tableFailing reports whether the table has failed for this process beyond one
// of the limits.
func (h *Handover) tableFailing() bool {
	return h.table.Rejected() >= rejectedLimit || h.table.Outage() >= outageLimit
}

// handOverIfFailing resigns the ownership if this process owns scheduling, its
// table is failing and another entry is able to take over.
func (h *Handover) handOverIfFailing(ctx context.Context) {
	a := h.owner.Current()
	if !a.Owner || !h.tableFailing() {
		return
	}
	for _, address := range h.peers.candidates() {
		if !h.sendHandOver(ctx, address, a.Epoch, false) {
			continue
		}
		// The term ends here, before any other entry may begin one.
		h.owner.Resign(a.Epoch)
		for _, p := range h.peers.candidates() {
			h.sendHandOver(ctx, p, a.Epoch, true)
		}
		return
	}
}

// sendHandOver asks an entry whether it is able to take over or, if resigned is
// set, informs it that the owner has resigned.
func (h *Handover) sendHandOver(ctx context.Context, address string, epoch uint64, resigned bool) bool {
	client, err := h.peers.pool.Fleet(address)
	if err != nil {
		h.log.Error().Err(err).Str("entry", address).Msg("failed to create gRPC client for entry address")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	reply, err := client.HandOver(ctx, &rpc.HandOverRequest{Epoch: epoch, Resigned: resigned})
	return err == nil && reply.Able // an entry that does not answer cannot take over
}

// handleHandOver serves a HandOver call of another entry.
func (h *Handover) handleHandOver(ctx context.Context, r *rpc.HandOverRequest) *rpc.HandOverReply {
	if r.Resigned {
		h.owner.ObserveResignation(r.Epoch)
		return &rpc.HandOverReply{} // a notification; the caller ignores the reply
	}
	return &rpc.HandOverReply{Able: !h.tableFailing() && h.storeOutage() == 0 && h.tableRespondsPromptly(ctx)}
}

// tableRespondsPromptly reads from the table and reports whether it answered
// within promptReadTimeout. Earlier answers don't count, because the table may
// have become slow since.
func (h *Handover) tableRespondsPromptly(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, promptReadTimeout)
	defer cancel()
	_, err := h.table.Get(ctx, ledger.CauseOwner, fenceKey)
	if err != nil {
		h.log.Info().Err(err).Msg("cannot take over ownership: table did not answer promptly")
	}
	return err == nil
}
