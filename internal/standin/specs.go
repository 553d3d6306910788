package standin

import (
	"context"
	"flag"
	"net/url"
	"strconv"
	"strings"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/external"
	"github.com/juju/errors"
)

// Defaults of the optional values of a spec.
const (
	defaultSlots        = 8
	defaultAccelerators = 8
	defaultMilliCPU     = 64_000
	defaultMemoryMB     = 250_000
)

// Specs lists the stand-ins that one process serves, as given by its flags.
type Specs struct {
	list []spec
}

// spec describes one stand-in; its flag has the form "address,key=value,key=value".
type spec struct {
	kind    string
	address string
	values  url.Values
}

// builder creates a stand-in. Objects is the object store of the process.
type builder func(s spec, objects external.Objects) (Service, error)

var builders = map[string]builder{
	"table":    func(spec, external.Objects) (Service, error) { return NewTable(), nil },
	"worker":   buildWorker,
	"minion":   buildMinion,
	"balancer": buildBalancer,
}

// Register defines one repeatable flag for each kind of stand-in.
func (s *Specs) Register(flags *flag.FlagSet) {
	s.registerKind(flags, "table", "`address` of a table")
	s.registerKind(flags, "objects", "`address` of the object store")
	s.registerKind(flags, "worker", "`address`,id=ID,accelerators=8,milli_cpu=64000,memory_mb=250000")
	s.registerKind(flags, "minion", "`address`,id=ID,slots=8")
	s.registerKind(flags, "balancer", "`address`,control=ADDRESS,target=ADDRESS,target=ADDRESS")
}

func (s *Specs) registerKind(flags *flag.FlagSet, kind, usage string) {
	flags.Func(kind, usage, func(value string) error { return s.Add(kind, value) })
}

// Add parses "address,key=value,..." and adds a stand-in of the given kind.
func (s *Specs) Add(kind, value string) error {
	parts := strings.Split(value, ",")
	sp := spec{kind: kind, address: parts[0], values: url.Values{}}
	for _, part := range parts[1:] {
		key, v, ok := strings.Cut(part, "=")
		if !ok {
			return errors.NotValidf("%q (want key=value)", part)
		}
		sp.values.Add(key, v)
	}
	s.list = append(s.list, sp)
	return nil
}

// Group is a set of running stand-ins.
type Group struct {
	servers []*Server
	relays  []*Relay
	states  []State
}

// State is the entry of one stand-in in the state dump of its process.
type State struct {
	Address  string        `json:"address"`
	Kind     string        `json:"kind"`
	Faults   FaultSettings `json:"faults"`
	Observed any           `json:"observed,omitempty"`

	service Service
}

// Serve starts all stand-ins. Workers store their checkpoints in the object
// store of the same process. On an error the stand-ins that run are stopped.
func (s *Specs) Serve() (*Group, error) {
	group := &Group{}
	objects := NewObjects()
	for _, sp := range s.list {
		if err := group.add(sp, objects); err != nil {
			group.Close()
			return nil, errors.Annotatef(err, "%s %s", sp.kind, sp.address)
		}
	}
	return group, nil
}

// Start does nothing: Specs.Serve has already started the stand-ins.
func (g *Group) Start(context.Context) error { return nil }

// Stop stops all stand-ins.
func (g *Group) Stop(context.Context) error {
	g.Close()
	return nil
}

// DumpState returns a State for each stand-in, with its current faults.
func (g *Group) DumpState() any {
	out := append([]State(nil), g.states...)
	for i := range out {
		out[i].Faults = out[i].service.faults().get()
		if o, ok := out[i].service.(observer); ok {
			out[i].Observed = o.observe()
		}
	}
	return out
}

// Close stops all stand-ins.
func (g *Group) Close() {
	for _, server := range g.servers {
		_ = server.Close()
	}
	for _, relay := range g.relays {
		relay.Close()
	}
}

func (g *Group) add(sp spec, objects *Objects) error {
	if sp.kind == "objects" {
		g.addState(sp, objects)
		return g.serve(sp.address, objects)
	}
	service, err := builders[sp.kind](sp, objects)
	if err != nil {
		return errors.Trace(err)
	}
	g.addState(sp, service)
	balancer, ok := service.(*Balancer)
	if !ok {
		return g.serve(sp.address, service)
	}
	g.relays = append(g.relays, balancer.Relay)
	if control := sp.values.Get("control"); control != "" {
		return g.serve(control, balancer)
	}
	return nil
}

func (g *Group) addState(sp spec, service Service) {
	g.states = append(g.states, State{Address: sp.address, Kind: sp.kind, service: service})
}

func (g *Group) serve(address string, service Service) error {
	server, err := Serve(address, service)
	if err != nil {
		return errors.Trace(err)
	}
	g.servers = append(g.servers, server)
	return nil
}

func buildWorker(s spec, objects external.Objects) (Service, error) {
	var capacity api.Resources
	var err error
	if capacity.Accelerators, err = s.positiveInt("accelerators", defaultAccelerators); err != nil {
		return nil, err
	}
	if capacity.MilliCPU, err = s.positiveInt("milli_cpu", defaultMilliCPU); err != nil {
		return nil, err
	}
	if capacity.MemoryMB, err = s.positiveInt("memory_mb", defaultMemoryMB); err != nil {
		return nil, err
	}
	return NewWorker(s.values.Get("id"), capacity, objects), nil
}

func buildMinion(s spec, _ external.Objects) (Service, error) {
	slots, err := s.positiveInt("slots", defaultSlots)
	if err != nil {
		return nil, err
	}
	return NewMinion(s.values.Get("id"), slots), nil
}

func buildBalancer(s spec, _ external.Objects) (Service, error) {
	relay, err := NewRelay(s.address, s.values["target"]...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Balancer{Relay: relay}, nil
}

func (s spec) positiveInt(key string, defaultValue int) (int, error) {
	text := s.values.Get(key)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		return 0, errors.NotValidf("%s=%q (want a positive number)", key, text)
	}
	return n, nil
}
