package confstate

import "time"

const (
	// MaxPeerReportAge is the age up to which a peer's report counts.
	MaxPeerReportAge = 2 * time.Second
	// maxPeerListLag is how much older than the last contact with the store the list
	// of entries may be.
	maxPeerListLag = 2500 * time.Millisecond
	// SettleTime is how long an entry has announced itself before it accepts
	// changes. By then every entry that reads the store knows of it.
	SettleTime = 4 * time.Second
	// settlePollInterval is the time between two looks at whether the entry has settled.
	settlePollInterval = 50 * time.Millisecond
)

// Peer is another entry as this one knows it.
type Peer struct {
	ID string
	// LastReportAt is when the request was sent whose answer brought the last report,
	// on this process's monotonic clock. It counts only if Ever is set.
	LastReportAt time.Duration
	HasReported  bool
	StoreFailing bool
}

// PeerView tells which other entries exist and whether they know this one.
type PeerView interface {
	// Peers returns the other entries and when their list was last read from
	// the store; known is false if it never was.
	Peers() (peers []Peer, listed time.Duration, known bool)
	// Settled reports whether the others have counted this entry among theirs
	// for SettleTime, so that none starts work in an outage without asking it.
	Settled() bool
}

// downEverywhere reports whether the store fails for this entry and all peers.
// outage is for how long it has failed here.
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
