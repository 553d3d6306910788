package settings

import (
	"net"
	"strconv"
	"time"
)

const (
	// HostedCell is the only cell of a hosted deployment, so that one owner
	// schedules everything.
	HostedCell = "all"
	// HostedTableTimeout bounds one call to the table service. The table normally
	// answers within a few milliseconds and, when slow, within sixty times that.
	HostedTableTimeout = 600 * time.Millisecond
	// HostedTableEntries is the largest number of conditions, writes and deletes
	// in one transaction of the table service.
	HostedTableEntries = 100
	// HostedTableCommitBytes is the largest sum of keys and data of one commit. The
	// table service takes 1 MB of request, in which values are encoded in base64.
	HostedTableCommitBytes = 700_000
	// HostedTableRowBytes is the largest value of a row if the host does not tell.
	HostedTableRowBytes = 64 << 10
)

// Hosted holds the settings of a process that runs on the platform. The host
// provides them in its own format.
type Hosted struct {
	Node string // host name
	Zone string
	IP   string
	// ClientsListen and ReadyListen are an entry's listen addresses for callers
	// and for the load balancer's readiness probes. WorkerListen is an agent's
	// listen address for the worker of its host.
	ClientsListen string
	ReadyListen   string
	WorkerListen  string
	// FirstPort and LastPort bound the range of ports for the processes' own use.
	FirstPort int
	LastPort  int
	// SeedHosts are IPs of hosts that may run entries; some may no longer exist.
	SeedHosts []string

	TableAddress string
	// TableRowBytes is the largest value of a row of the table.
	TableRowBytes int
	// WorkerAddress and Pool are the address and pool of the worker beside an agent.
	WorkerAddress string
	Pool          string
	// OrdersInHeartbeatReplies is set if workers accept orders only in the replies
	// to their heartbeats.
	OrdersInHeartbeatReplies bool

	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest time a worker takes to stop a run.
	StopTime time.Duration
	// RevocationTime is the longest time a key may be valid after its removal.
	// ApplyTime is the longest time until a configuration change is in force.
	RevocationTime time.Duration
	ApplyTime      time.Duration
	// StopGrace is the time from the request to stop the process until the host
	// kills it.
	StopGrace time.Duration
	MemoryMB  int
	// Cores is the processor time of the host; 0 if it does not tell.
	Cores float64
}

// EntryAddress returns the address at which the entry on a host serves agents
// and other entries.
func (h *Hosted) EntryAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(h.FirstPort))
}

// SeedAddresses returns the addresses of the entries on the seed hosts.
func (h *Hosted) SeedAddresses() []string {
	var out []string
	for _, host := range h.SeedHosts {
		out = append(out, h.EntryAddress(host))
	}
	return out
}
