package confstate

import "time"

const (
	// MaxPeerReportAge is the age up to which a peer's report counts as current.
	MaxPeerReportAge = 2 * time.Second
	// maxPeerListLag is the longest time that the last read of the list of entries
	// may precede this entry's last contact with the store.
	maxPeerListLag = 2500 * time.Millisecond
	// SettleTime is how long an entry must have announced itself before it accepts
	// changes. By then every entry that reads the store knows of it.
	SettleTime = 4 * time.Second
	// settlePollInterval is the time between two checks of whether the entry has
	// settled.
	settlePollInterval = 50 * time.Millisecond
)

// Peer is another entry, as known to this one.
type Peer struct {
	ID string
	// LastReportAt is the send time, on this process's monotonic clock, of the
	// request that was answered with the latest report. It is valid only if
	// HasReported is set.
	LastReportAt time.Duration
	HasReported  bool
	StoreFailing bool
}

// PeerView is this entry's knowledge of the other entries.
type PeerView interface {
	// Peers returns the other entries and the time at which their list was last read
	// from the store; known is false if it has never been read.
	Peers() (peers []Peer, listed time.Duration, known bool)
	// Settled reports whether this entry has been in the other entries' lists for
	// SettleTime, so that none of them permits starts in an outage without this
	// entry's report.
	Settled() bool
}

// downEverywhere reports whether the store fails for this entry and all its peers.
// outage is the duration of the outage as observed by this entry.
func downEverywhere(now, outage time.Duration, view PeerView) bool {
	if outage <= MaxConfigAge {
		return false
	}
	peers, listed, known := view.Peers()
	if !known || now-listed > outage+maxPeerListLag {
		return false
	}
	for _, p := range peers {
		if !p.HasReported || now-p.LastReportAt > MaxPeerReportAge || !p.StoreFailing {
			return false
		}
	}
	return true
}
