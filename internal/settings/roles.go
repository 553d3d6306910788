package settings

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Log is the [log] table.
type Log struct {
	// Level is the minimum level that is written: debug, info, warn or error. Default info.
	Level Level `toml:"level"`
}

// Drain is the [drain] table.
type Drain struct {
	// Timeout bounds how long a graceful stop waits for work in progress. Default 2m.
	Timeout api.Duration `toml:"timeout" min:"1s"`
}

// Service says how to reach one of the platform's services.
type Service struct {
	// URL is the service's base URL.
	URL URL `toml:"url,required"`
	// Timeout bounds one operation. Default 2s.
	Timeout api.Duration `toml:"timeout" min:"10ms"`
}

// Limits is the [limits] table.
type Limits struct {
	// MaxBodyBytes bounds the body of one request. Default and maximum 8 MiB.
	MaxBodyBytes int `toml:"max_body_bytes" min:"1024" max:"8388608"`
	// MaxRequests bounds the requests that are queued or in progress. Default 4096.
	MaxRequests int `toml:"max_requests" min:"1"`
	// MaxQueue bounds the requests that wait for a slot in a profile without its
	// own max_queue. Default 1024.
	MaxQueue int `toml:"max_queue" min:"1"`
}

// Entry holds the settings of coltsfoot-entry.
type Entry struct {
	// Role is "entry".
	Role Role `toml:"role,required"`
	// ID names the process. If it is empty, the process generates one at start.
	ID Name `toml:"id"`
	// Zone is the availability zone of the host.
	Zone Name `toml:"zone,required"`
	// Cell is the scheduling cell that the entry may own. Default "all".
	Cell Name `toml:"cell"`
	// HTTPListen is the listen address for callers and operators.
	HTTPListen Address `toml:"http_listen,required"`
	// RPCListen is the listen address for agents and other entries.
	RPCListen Address `toml:"rpc_listen,required"`
	// RPCAdvertise is the address at which agents and other entries connect to
	// RPCListen. Default RPCListen; empty only when RPCListen has port 0.
	RPCAdvertise Address `toml:"rpc_advertise"`
	// Balancer is the platform's load balancer in front of the entries' RPCListen.
	// An entry that starts while the table is down discovers the others through it.
	Balancer Address `toml:"balancer"`
	// Table is the platform's table service.
	Table Service `toml:"table,required"`
	// Objects is the platform's object store.
	Objects Service `toml:"objects,required"`
	Limits  Limits  `toml:"limits"`
	Log     Log     `toml:"log"`
	Drain   Drain   `toml:"drain"`
}

// Agent holds the settings of coltsfoot-agent.
type Agent struct {
	// Role is "agent".
	Role Role `toml:"role,required"`
	// ID names the agent and its endpoint; it is stable across restarts.
	ID Name `toml:"id,required"`
	// Zone is the availability zone of the host.
	Zone Name `toml:"zone,required"`
	// Rack is the rack of the host. Required for a worker.
	Rack Name `toml:"rack"`
	// Kind is "minion" or "worker".
	Kind EndpointKind `toml:"kind,required"`
	// Service is the service that a minion runs.
	Service Name `toml:"service"`
	// Slots is the number of requests a minion runs concurrently. Only for a minion.
	Slots int `toml:"slots" min:"1"`
	// Capacity is the resources that a worker provides. Only for a worker.
	Capacity api.Resources `toml:"capacity"`
	// Endpoint is the base URL of the minion or worker beside the agent.
	Endpoint URL `toml:"endpoint,required"`
	// Balancer is the platform's load balancer in front of the entries' RPCListen.
	Balancer Address `toml:"balancer,required"`
	// HTTPListen is the listen address for health, metrics and the state dump.
	HTTPListen Address `toml:"http_listen,required"`
	Log        Log     `toml:"log"`
	Drain      Drain   `toml:"drain"`
}

// Listener is the listen address of a stand-in.
type Listener struct {
	Listen Address `toml:"listen,required"`
}

// StandinWorker is the listen address and capacity of a stand-in worker.
type StandinWorker struct {
	ID           Name    `toml:"id,required"`
	Listen       Address `toml:"listen,required"`
	Accelerators int     `toml:"accelerators,required" min:"1"`
	MilliCPU     int     `toml:"milli_cpu,required" min:"1"`
	MemoryMB     int     `toml:"memory_mb,required" min:"1"`
}

// StandinMinion is the listen address and capacity of a stand-in minion.
type StandinMinion struct {
	ID     Name    `toml:"id,required"`
	Listen Address `toml:"listen,required"`
	// Slots is the number of requests it runs concurrently.
	Slots int `toml:"slots,required" min:"1"`
}

// StandinBalancer forwards TCP connections to its targets in round-robin order.
type StandinBalancer struct {
	Listen Address `toml:"listen,required"`
	// Control is the listen address of its fault injection. Disabled if empty.
	Control Address   `toml:"control"`
	Targets []Address `toml:"targets,required"`
}

// Standin holds the settings of coltsfoot-standin: the stand-ins that one process runs.
type Standin struct {
	// Role is "standin".
	Role Role `toml:"role,required"`
	// Table is the table service. Disabled if Listen is empty.
	Table Listener `toml:"table"`
	// Objects is the object store. Disabled if Listen is empty.
	Objects   Listener          `toml:"objects"`
	Workers   []StandinWorker   `toml:"worker"`
	Minions   []StandinMinion   `toml:"minion"`
	Balancers []StandinBalancer `toml:"balancer"`
}

// Defaults of the settings.
const (
	defaultCell           = "all"
	defaultLevel          = "info"
	defaultDrainTimeout   = 2 * time.Minute
	defaultServiceTimeout = 2 * time.Second
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxRequests    = 4096
	defaultMaxQueue       = 1024
)

func defaultEntry() *Entry {
	service := Service{Timeout: api.Duration(defaultServiceTimeout)}
	return &Entry{
		Cell:    defaultCell,
		Table:   service,
		Objects: service,
		Limits: Limits{
			MaxBodyBytes: defaultMaxBodyBytes,
			MaxRequests:  defaultMaxRequests,
			MaxQueue:     defaultMaxQueue,
		},
		Log:   Log{defaultLevel},
		Drain: Drain{api.Duration(defaultDrainTimeout)},
	}
}

func defaultAgent() *Agent {
	return &Agent{
		Log:   Log{defaultLevel},
		Drain: Drain{api.Duration(defaultDrainTimeout)},
	}
}
