package standin

import "github.com/fasthttp/router"

// PathTargets serves (GET) and replaces (POST) the targets of a balancer.
const PathTargets = "/control/targets"

// Targets is the body of PathTargets.
type Targets struct {
	Targets []string `json:"targets"`
}

// Balancer serves the control interface of a Relay.
type Balancer struct {
	Faults
	Relay *Relay
}

func (b *Balancer) faults() *Faults { return &b.Faults }

func (b *Balancer) routes(r *router.Router) {
	r.GET(PathTargets, getHandler(func() any { return Targets{b.Relay.Targets()} }))
	r.POST(PathTargets, postHandler(func(in Targets) (Targets, error) {
		b.Relay.SetTargets(in.Targets...)
		return in, nil
	}))
}
