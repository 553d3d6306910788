package confstate

import "time"

// PeerFreshLimit is the age up to which a peer's report counts.
const PeerFreshLimit = 2 * time.Second

// Peer is another entry as this one knows it.
type Peer struct {
	ID string
	// Heard is when the request was sent whose answer brought the last report,
	// on this process's monotonic clock. It counts only if Ever is set.
	Heard        time.Duration
	Ever         bool
	StoreFailing bool
}

// PeerView tells which other entries exist. Known is false until a list of the
// entries was read or heard.
type PeerView interface {
	Peers() (peers []Peer, known bool)
}

// downEverywhere reports whether the store fails for this entry and all peers.
func downEverywhere(now time.Duration, failing bool, peers []Peer, known bool) bool {
	if !failing || !known {
		return false
	}
	for _, p := range peers {
		if !p.Ever || now-p.Heard > PeerFreshLimit || !p.StoreFailing {
			return false
		}
	}
	return true
}
