package settings

import (
	"net"
	"strconv"
	"time"
)

const (
	// HostedCell is the cell of a hosted deployment: one owner for all.
	HostedCell = "all"
	// HostedTableTimeout bounds one call of the table, which answers within a few
	// milliseconds, or sixty times that when it is slow.
	HostedTableTimeout = 600 * time.Millisecond
)

// Hosted are the settings of a process whose host tells it where it runs, in a
// format of the host's own.
type Hosted struct {
	Node string // name of the host
	Zone string
	IP   string
	// ClientsListen, ReadyListen and WorkerListen are the addresses on which
	// callers, the balancer's probes and the worker of this host call. The last
	// is an agent's, the first two are an entry's.
	ClientsListen string
	ReadyListen   string
	WorkerListen  string
	// FirstPort and LastPort bound the ports for the processes' own use.
	FirstPort int
	LastPort  int
	// SeedHosts are IPs of hosts that may run entries; some may be gone.
	SeedHosts []string

	TableAddress string
	// WorkerAddress and Pool are those of the worker beside an agent.
	WorkerAddress string
	Pool          string
	// OrdersInHeartbeatReplies tells that workers take orders only in the replies to
	// their heartbeats.
	OrdersInHeartbeatReplies bool

	// MaxLease bounds the lease that a worker grants.
	MaxLease time.Duration
	// StopTime bounds how long a worker takes to stop a run.
	StopTime time.Duration
	// RevocationTime is within which a key has to end after its removal, and ApplyTime
	// within which a change of the configuration has to be in force.
	RevocationTime time.Duration
	ApplyTime      time.Duration
	// StopGrace is the time between the request to stop and the kill.
	StopGrace time.Duration
	MemoryMB  int
}

// EntryAddress is where the entry on a host serves agents and other entries.
func (h *Hosted) EntryAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(h.FirstPort))
}

// SeedAddresses are the addresses of the entries on the seed hosts.
func (h *Hosted) SeedAddresses() []string {
	var out []string
	for _, host := range h.SeedHosts {
		out = append(out, h.EntryAddress(host))
	}
	return out
}
