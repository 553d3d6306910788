package settings

import (
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// Log is the [log] table.
type Log struct {
	// Level is the least level that is written: debug, info, warn or error. Default info.
	Level Level `toml:"level"`
}

// Drain is the [drain] table.
type Drain struct {
	// Timeout bounds how long a planned stop waits for work in progress. Default 2m.
	Timeout api.Duration `toml:"timeout" min:"1s"`
}

// Service is the place of one of the platform's services.
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
	// MaxRequests bounds the requests that wait or are in progress. Default 4096.
	MaxRequests int `toml:"max_requests" min:"1"`
	// MaxQueue bounds the requests that wait for a slot in a profile that has
	// no max_queue of its own. Default 1024.
	MaxQueue int `toml:"max_queue" min:"1"`
}

// Entry is the settings of coltsfoot-entry.
type Entry struct {
	// Role is "entry".
	Role Role `toml:"role,required"`
	// ID names the process. When it is empty the process makes one up at its start.
	ID Name `toml:"id"`
	// Zone is the availability zone of the host.
	Zone Name `toml:"zone,required"`
	// Cell is the scheduling cell that the entry may own. Default "all".
	Cell Name `toml:"cell"`
	// HTTPListen is where callers and operators are served.
	HTTPListen Address `toml:"http_listen,required"`
	// RPCListen is where agents and other entries are served.
	RPCListen Address `toml:"rpc_listen,required"`
	// RPCAdvertise is the address under which agents and other entries reach
	// RPCListen. Default RPCListen; empty only when RPCListen has port 0.
	RPCAdvertise Address `toml:"rpc_advertise"`
	// Balancer is the platform's balancer in front of the entries' RPCListen.
	// An entry that starts while the table is down finds the others through it.
	Balancer Address `toml:"balancer"`
	// Table is the platform's table service.
	Table Service `toml:"table,required"`
	// Objects is the platform's object store.
	Objects Service `toml:"objects,required"`
	Limits  Limits  `toml:"limits"`
	Log     Log     `toml:"log"`
	Drain   Drain   `toml:"drain"`
}

// Agent is the settings of coltsfoot-agent.
type Agent struct {
	// Role is "agent".
	Role Role `toml:"role,required"`
	// ID names the agent and its endpoint; it stays the same over restarts.
	ID Name `toml:"id,required"`
	// Zone is the availability zone of the host.
	Zone Name `toml:"zone,required"`
	// Rack is the rack of the host. A worker needs one.
	Rack Name `toml:"rack"`
	// Kind is "minion" or "worker".
	Kind EndpointKind `toml:"kind,required"`
	// Service is the service that a minion runs.
	Service Name `toml:"service"`
	// Slots is how many requests a minion runs at once. Only for a minion.
	Slots int `toml:"slots" min:"1"`
	// Capacity is what a worker provides. Only for a worker.
	Capacity api.Resources `toml:"capacity"`
	// Endpoint is the base URL of the minion or worker beside the agent.
	Endpoint URL `toml:"endpoint,required"`
	// Balancer is the platform's balancer in front of the entries' RPCListen.
	Balancer Address `toml:"balancer,required"`
	// HTTPListen is where health, metrics and the state dump are served.
	HTTPListen Address `toml:"http_listen,required"`
	Log        Log     `toml:"log"`
	Drain      Drain   `toml:"drain"`
}

// Listener is the place of a stand-in.
type Listener struct {
	Listen Address `toml:"listen,required"`
}

// StandinWorker is the place and size of a stand-in worker.
type StandinWorker struct {
	ID           Name    `toml:"id,required"`
	Listen       Address `toml:"listen,required"`
	Accelerators int     `toml:"accelerators,required" min:"1"`
	MilliCPU     int     `toml:"milli_cpu,required" min:"1"`
	MemoryMB     int     `toml:"memory_mb,required" min:"1"`
}

// StandinMinion is the place and size of a stand-in minion.
type StandinMinion struct {
	ID     Name    `toml:"id,required"`
	Listen Address `toml:"listen,required"`
	// Slots is how many requests it runs at once.
	Slots int `toml:"slots,required" min:"1"`
}

// StandinBalancer is a relay of TCP connections to targets in turn.
type StandinBalancer struct {
	Listen Address `toml:"listen,required"`
	// Control is where its faults are set. None when it is empty.
	Control Address   `toml:"control"`
	Targets []Address `toml:"targets,required"`
}

// Standin is the settings of coltsfoot-standin: the stand-ins that one process runs.
type Standin struct {
	// Role is "standin".
	Role Role `toml:"role,required"`
	// Table is the table service. None when Listen is empty.
	Table Listener `toml:"table"`
	// Objects is the object store. None when Listen is empty.
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
