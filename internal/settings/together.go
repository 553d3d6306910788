package settings

// checkTogether finds values that clash with each other.
func (e *Entry) checkTogether(d *document) {
	listen := listenSet{d: d, seen: map[Address]string{}}
	listen.add(e.HTTPListen, "http_listen")
	listen.add(e.RPCListen, "rpc_listen")
	n, set := d.place("rpc_advertise")
	if !set && e.RPCListen.unspecified() {
		n, _ = d.place("rpc_listen")
		d.add(n.line, n.column, "rpc_advertise", "is required because rpc_listen %q stands for all addresses", string(e.RPCListen))
	}
	d.checkReachable(n, "rpc_advertise", e.RPCAdvertise)
	n, _ = d.place("balancer")
	d.checkReachable(n, "balancer", e.Balancer)
	if e.Limits.MaxQueue > e.Limits.MaxRequests {
		n, _ := d.place("limits")
		d.add(n.line, n.column, "limits.max_queue", "%d is above limits.max_requests %d", e.Limits.MaxQueue, e.Limits.MaxRequests)
	}
}

// checkTogether finds values that clash with each other.
func (a *Agent) checkTogether(d *document) {
	n, _ := d.place("balancer")
	d.checkReachable(n, "balancer", a.Balancer)
	switch a.Kind {
	case KindMinion:
		d.requireFor("minion", "service")
		d.requireFor("minion", "slots")
		d.refuseFor("minion", "capacity")
	case KindWorker:
		d.requireFor("worker", "rack")
		d.requireFor("worker", "capacity", "accelerators")
		d.requireFor("worker", "capacity", "milli_cpu")
		d.requireFor("worker", "capacity", "memory_mb")
		d.refuseFor("worker", "service")
		d.refuseFor("worker", "slots")
		a.checkCapacity(d)
	}
}

func (a *Agent) checkCapacity(d *document) {
	d.checkNotBelow(0, a.Capacity.Accelerators, "capacity", "accelerators")
	d.checkNotBelow(1, a.Capacity.MilliCPU, "capacity", "milli_cpu")
	d.checkNotBelow(1, a.Capacity.MemoryMB, "capacity", "memory_mb")
}

// checkTogether finds values that clash with each other.
func (s *Standin) checkTogether(d *document) {
	listen := listenSet{d: d, seen: map[Address]string{}}
	listen.add(s.Table.Listen, "table", "listen")
	listen.add(s.Objects.Listen, "objects", "listen")
	ids := map[Name]string{}
	for i, w := range s.Workers {
		n := d.element("worker", i)
		listen.addAt(n, indexKey("worker", i)+".listen", w.Listen)
		d.checkUnique(ids, n, indexKey("worker", i)+".id", w.ID)
	}
	for i, m := range s.Minions {
		n := d.element("minion", i)
		listen.addAt(n, indexKey("minion", i)+".listen", m.Listen)
		d.checkUnique(ids, n, indexKey("minion", i)+".id", m.ID)
	}
	for i, b := range s.Balancers {
		s.checkBalancer(d, i, b)
		listen.addAt(d.element("balancer", i), indexKey("balancer", i)+".listen", b.Listen)
		listen.addAt(d.element("balancer", i), indexKey("balancer", i)+".control", b.Control)
	}
	if len(listen.seen) == 0 && len(d.findings) == 0 {
		d.add(1, 1, "", "names no stand-in: [table], [objects], [[worker]], [[minion]] or [[balancer]]")
	}
}

func (s *Standin) checkBalancer(d *document, i int, b StandinBalancer) {
	n := d.element("balancer", i)
	key := indexKey("balancer", i) + ".targets"
	if t, ok := n.value.(*table); ok && t.nodes["targets"] != nil && len(b.Targets) == 0 {
		d.add(n.line, n.column, key, "names no target")
	}
	for j, target := range b.Targets {
		d.checkReachable(n, indexKey(key, j), target)
	}
}

// element returns the place of an element of a top-level array.
func (d *document) element(key string, i int) *node {
	n, _ := d.place(key)
	if elements, ok := n.value.([]*node); ok && i < len(elements) {
		return elements[i]
	}
	return n
}

// checkReachable finds addresses that cannot be connected to.
func (d *document) checkReachable(n *node, key string, a Address) {
	if a.unspecified() || a.anyPort() {
		d.add(n.line, n.column, key, "%q is not an address that others can connect to", string(a))
	}
}

func (d *document) requireFor(kind string, path ...string) {
	if n, set := d.place(path...); !set {
		d.add(n.line, n.column, keyOf(path), "is required for a %s", kind)
	}
}

func (d *document) refuseFor(kind string, path ...string) {
	if n, set := d.place(path...); set {
		d.add(n.line, n.column, keyOf(path), "is not allowed for a %s", kind)
	}
}

func (d *document) checkNotBelow(least, v int, path ...string) {
	n, set := d.place(path...)
	_, isInteger := n.value.(int64)
	if set && isInteger && v < least {
		d.add(n.line, n.column, keyOf(path), "%d is below the minimum of %d", v, least)
	}
}

func (d *document) checkUnique(seen map[Name]string, n *node, key string, id Name) {
	if id == "" {
		return
	}
	if first, dup := seen[id]; dup {
		d.add(n.line, n.column, key, "%q is used by %s too", string(id), first)
		return
	}
	seen[id] = key
}

func keyOf(path []string) string {
	key := ""
	for _, name := range path {
		key = joinKey(key, name)
	}
	return key
}

// listenSet finds addresses that two listeners of one file share.
type listenSet struct {
	d    *document
	seen map[Address]string
}

func (l *listenSet) add(a Address, path ...string) {
	n, _ := l.d.place(path...)
	l.addAt(n, keyOf(path), a)
}

func (l *listenSet) addAt(n *node, key string, a Address) {
	if a == "" {
		return
	}
	if first, dup := l.seen[a]; dup && !a.anyPort() {
		l.d.add(n.line, n.column, key, "%q is used by %s too", string(a), first)
		return
	}
	l.seen[a] = key
}
