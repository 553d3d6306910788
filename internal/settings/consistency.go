package settings

// checkConsistency reports values that conflict with each other.
func (e *Entry) checkConsistency(d *document) {
	listeners := listenAddresses{d: d, seen: map[Address]string{}}
	listeners.add(e.HTTPListen, "http_listen")
	listeners.add(e.RPCListen, "rpc_listen")
	n, set := d.lookup("rpc_advertise")
	if !set && e.RPCListen.unspecified() {
		n, _ = d.lookup("rpc_listen")
		d.addFinding(n.line, n.column, "rpc_advertise", "is required because rpc_listen %q stands for all addresses", string(e.RPCListen))
	}
	d.checkReachable(n, "rpc_advertise", e.RPCAdvertise)
	n, _ = d.lookup("balancer")
	d.checkReachable(n, "balancer", e.Balancer)
	if e.Limits.MaxQueue > e.Limits.MaxRequests {
		n, _ := d.lookup("limits")
		d.addFinding(n.line, n.column, "limits.max_queue", "%d is above limits.max_requests %d", e.Limits.MaxQueue, e.Limits.MaxRequests)
	}
}

// checkConsistency reports values that conflict with each other.
func (a *Agent) checkConsistency(d *document) {
	n, _ := d.lookup("balancer")
	d.checkReachable(n, "balancer", a.Balancer)
	switch a.Kind {
	case KindMinion:
		d.requireForKind("minion", "service")
		d.requireForKind("minion", "slots")
		d.forbidForKind("minion", "capacity")
	case KindWorker:
		d.requireForKind("worker", "rack")
		d.requireForKind("worker", "capacity", "accelerators")
		d.requireForKind("worker", "capacity", "milli_cpu")
		d.requireForKind("worker", "capacity", "memory_mb")
		d.forbidForKind("worker", "service")
		d.forbidForKind("worker", "slots")
		a.checkCapacity(d)
	}
}

func (a *Agent) checkCapacity(d *document) {
	d.checkMinimum(0, a.Capacity.Accelerators, "capacity", "accelerators")
	d.checkMinimum(1, a.Capacity.MilliCPU, "capacity", "milli_cpu")
	d.checkMinimum(1, a.Capacity.MemoryMB, "capacity", "memory_mb")
}

// checkConsistency reports values that conflict with each other.
func (s *Standin) checkConsistency(d *document) {
	listeners := listenAddresses{d: d, seen: map[Address]string{}}
	listeners.add(s.Table.Listen, "table", "listen")
	listeners.add(s.Objects.Listen, "objects", "listen")
	ids := map[Name]string{}
	for i, w := range s.Workers {
		n := d.element("worker", i)
		listeners.addAt(n, indexKey("worker", i)+".listen", w.Listen)
		d.checkUnique(ids, n, indexKey("worker", i)+".id", w.ID)
	}
	for i, m := range s.Minions {
		n := d.element("minion", i)
		listeners.addAt(n, indexKey("minion", i)+".listen", m.Listen)
		d.checkUnique(ids, n, indexKey("minion", i)+".id", m.ID)
	}
	for i, b := range s.Balancers {
		s.checkBalancer(d, i, b)
		listeners.addAt(d.element("balancer", i), indexKey("balancer", i)+".listen", b.Listen)
		listeners.addAt(d.element("balancer", i), indexKey("balancer", i)+".control", b.Control)
	}
	if len(listeners.seen) == 0 && len(d.findings) == 0 {
		d.addFinding(1, 1, "", "names no stand-in: [table], [objects], [[worker]], [[minion]] or [[balancer]]")
	}
}

func (s *Standin) checkBalancer(d *document, i int, b StandinBalancer) {
	n := d.element("balancer", i)
	key := indexKey("balancer", i) + ".targets"
	if t, ok := n.value.(*table); ok && t.nodes["targets"] != nil && len(b.Targets) == 0 {
		d.addFinding(n.line, n.column, key, "names no target")
	}
	for j, target := range b.Targets {
		d.checkReachable(n, indexKey(key, j), target)
	}
}

// element returns the node of element i of a top-level array, or the array's
// node if there is no such element.
func (d *document) element(key string, i int) *node {
	n, _ := d.lookup(key)
	if elements, ok := n.value.([]*node); ok && i < len(elements) {
		return elements[i]
	}
	return n
}

// checkReachable reports an address that others cannot connect to.
func (d *document) checkReachable(n *node, key string, a Address) {
	if a.unspecified() || a.anyPort() {
		d.addFinding(n.line, n.column, key, "%q is not an address that others can connect to", string(a))
	}
}

func (d *document) requireForKind(kind string, path ...string) {
	if n, set := d.lookup(path...); !set {
		d.addFinding(n.line, n.column, joinPath(path), "is required for a %s", kind)
	}
}

func (d *document) forbidForKind(kind string, path ...string) {
	if n, set := d.lookup(path...); set {
		d.addFinding(n.line, n.column, joinPath(path), "is not allowed for a %s", kind)
	}
}

func (d *document) checkMinimum(minimum, v int, path ...string) {
	n, set := d.lookup(path...)
	_, isInteger := n.value.(int64)
	if set && isInteger && v < minimum {
		d.addFinding(n.line, n.column, joinPath(path), "%d is below the minimum of %d", v, minimum)
	}
}

func (d *document) checkUnique(seen map[Name]string, n *node, key string, id Name) {
	if id == "" {
		return
	}
	if first, dup := seen[id]; dup {
		d.addFinding(n.line, n.column, key, "%q is used by %s too", string(id), first)
		return
	}
	seen[id] = key
}

func joinPath(path []string) string {
	key := ""
	for _, name := range path {
		key = joinKey(key, name)
	}
	return key
}

// listenAddresses reports listen addresses that are used twice in one file.
type listenAddresses struct {
	d    *document
	seen map[Address]string
}

func (l *listenAddresses) add(a Address, path ...string) {
	n, _ := l.d.lookup(path...)
	l.addAt(n, joinPath(path), a)
}

func (l *listenAddresses) addAt(n *node, key string, a Address) {
	if a == "" {
		return
	}
	if first, dup := l.seen[a]; dup && !a.anyPort() {
		l.d.addFinding(n.line, n.column, key, "%q is used by %s too", string(a), first)
		return
	}
	l.seen[a] = key
}
