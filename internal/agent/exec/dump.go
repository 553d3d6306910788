package exec

import (
	"maps"
	"slices"
)

// Dump is the part of a Core's state shown in the state dump.
type Dump struct {
	Incarnation string         `json:"incarnation"`
	Allowed     bool           `json:"allowed"`
	Leaving     bool           `json:"leaving"`
	Slots       int            `json:"slots"`
	Running     int            `json:"running"`
	Queued      int            `json:"queued"`
	Remembered  map[string]int `json:"remembered"`
	Links       []string       `json:"links"`
	Unacked     map[string]int `json:"unacked"` // number of results by entry
	BodyBytes   int64          `json:"body_bytes"`
	Executing   []Execution    `json:"executing"`
}

// Execution is one running or queued attempt in a Dump.
type Execution struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Entry   string `json:"entry"`
	State   string `json:"state"`
}

// Dump returns a Dump.
func (c *Core) Dump() any {
	dump := Dump{
		Incarnation: c.cfg.Incarnation,
		Allowed:     c.allowed,
		Leaving:     c.leaving,
		Slots:       c.cfg.Slots,
		Running:     c.running,
		Queued:      len(c.queue),
		Links:       slices.Sorted(maps.Keys(c.links)),
		Remembered:  map[string]int{},
		Unacked:     map[string]int{},
		BodyBytes:   c.bodyBytes,
	}
	for _, r := range c.records {
		dump.Remembered[string(r.state)]++
		for _, w := range r.waiters {
			if r.ended() && !w.acked {
				dump.Unacked[w.entry]++
			}
		}
	}
	for _, r := range c.sortedRecords(func(r *record) bool { return !r.ended() }) {
		dump.Executing = append(dump.Executing, Execution{r.ref.ID, r.ref.Attempt, r.waiters[0].entry, string(r.state)})
	}
	return dump
}
