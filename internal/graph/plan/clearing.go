package plan

import "slices"

// victim is a unit that may be stopped. rate is its loss for each core that it
// frees.
type victim struct {
	unit       *unit
	loss, rate float64
}

// victims returns the units with work on a group that may be stopped for a
// unit: those outside of every guarantee, and for a unit that has none itself
// only those of a lower priority.
func (c *Core) victims(u *unit, g group, why Reason, cl *clearing) []victim {
	seen := map[*unit]bool{}
	var out []victim
	for _, s := range g.sites {
		for _, m := range s.members {
			v := m.unit
			if seen[v] || c.books.entitled[v.job] || v.phase != unitPlaced || v.ending {
				continue
			}
			seen[v] = true
			if why == ReasonPreempted && v.job.Priority <= u.job.Priority {
				continue
			}
			loss := c.loss(v)
			out = append(out, victim{v, loss, loss / cl.freed(v)})
		}
	}
	return out
}

// clearing is a group's room as if some units had ended.
type clearing struct {
	unit    *unit
	sites   []site
	index   map[*worker]int
	present map[*worker]int
}

// newClearing returns the room without all that is ending already.
func newClearing(u *unit, g group) *clearing {
	cl := &clearing{unit: u, sites: slices.Clone(g.sites), index: map[*worker]int{}, present: u.present()}
	for i, s := range cl.sites {
		cl.index[s.worker] = i
		for _, m := range s.members {
			if m.unit.ending {
				cl.sites[i].room = cl.sites[i].room.Add(m.unit.spec.Needs)
			}
		}
	}
	return cl
}

// stop adds a unit's needs to the room, and keep takes them out again.
func (cl *clearing) stop(v *unit) {
	cl.eachSite(v, func(s *site) { s.room = s.room.Add(v.spec.Needs) })
}

func (cl *clearing) keep(v *unit) {
	cl.eachSite(v, func(s *site) { s.room = s.room.Sub(v.spec.Needs) })
}

// eachSite calls fn with the site of each member of a unit that lies here.
func (cl *clearing) eachSite(v *unit, fn func(*site)) {
	for _, m := range v.members {
		if i, ok := cl.index[m.worker]; ok && !m.ended {
			fn(&cl.sites[i])
		}
	}
}

// freed is the size in cores of what stopping a unit frees here.
func (cl *clearing) freed(v *unit) float64 {
	total := 0.1 // keeps units without need from dividing by zero
	cl.eachSite(v, func(*site) { total += v.spec.Needs.Cores() })
	return total
}

// pack returns where the unit fits, nil if it does not.
func (cl *clearing) pack() []part { return pack(cl.sites, cl.unit.spec, cl.unit.tasks, cl.present) }
