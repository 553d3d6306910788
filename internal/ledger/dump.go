package ledger

import (
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// State is the state dump of a client.
type State struct {
	Down          bool             `json:"down"`
	OutageMS      int64            `json:"outage_ms"`
	Queues        map[laneName]int `json:"queues"`
	ReadsInFlight int              `json:"reads_in_flight"`
	Tombstones    int              `json:"tombstones"`
	Counters      map[string]int64 `json:"counters"`
}

// DumpState returns the state dump of the client.
func (c *Client) DumpState() any {
	s := State{
		Down:          c.BreakerOpen(),
		OutageMS:      c.Outage().Milliseconds(),
		Queues:        map[laneName]int{},
		ReadsInFlight: len(c.readSlots),
		Tombstones:    c.tombstones.len(),
		Counters:      map[string]int64{},
	}
	for name, l := range c.lanes {
		s.Queues[name] = l.len()
	}
	c.cfg.Metrics.Each(func(name string, v any) {
		if counter, ok := v.(metrics.Counter); ok && strings.HasPrefix(name, "ledger.") {
			s.Counters[name] = counter.Count()
		}
	})
	return s
}
