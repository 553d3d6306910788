package soak

import (
	"fmt"
	"sync"

	hosted "github.com/coltsfootlug/coltsfootlug/platform/standin"
)

// The accounts: one with a guarantee, one without.
const (
	accountGuaranteed = "guaranteed"
	accountOther      = "other"
)

var queues = []hosted.Queue{{Name: "q0", Prefix: "/q0/"}, {Name: "q1", Prefix: "/q1/", Priority: 1}, {Name: "q2", Prefix: "/q2/", Priority: 2}}

// operator changes the configuration. A removed key is never used again.
type operator struct {
	store    *hosted.Store
	recorder *Recorder

	mu      sync.Mutex
	version uint64
	keys    map[string]string // by account
	pools   map[string]string // by queue, of those that do not name pool; removedQueue for one that is removed
	removed []string
}

func (o *operator) begin(store *hosted.Store, recorder *Recorder) {
	o.store, o.recorder = store, recorder
	o.pools = map[string]string{}
	o.keys = map[string]string{accountGuaranteed: accountGuaranteed + "-0", accountOther: accountOther + "-0"}
	recorder.record.Guarantees[accountGuaranteed] = guaranteed
	for _, q := range queues {
		recorder.Add(Event{Kind: KindMove, Queue: q.Name, Service: pool})
	}
	o.writeConfig()
}

// writeConfig writes the configuration under its next version.
func (o *operator) writeConfig() {
	o.version++
	c := hosted.Config{Version: o.version, Host: callersHost, Pool: pool}
	for _, q := range queues {
		if q.Pool = o.pools[q.Name]; q.Pool != removedQueue {
			c.Queues = append(c.Queues, q)
		}
	}
	for _, name := range []string{accountGuaranteed, accountOther} {
		c.Accounts = append(c.Accounts, hosted.Account{Name: name, Keys: []string{o.keys[name]}, GuaranteedAccelerators: o.recorder.record.Guarantees[name]})
	}
	if err := o.store.WriteConfig(c); err != nil {
		panic(err) // the configuration consists of plain values
	}
}

// key returns the valid key of an account.
func (o *operator) key(account string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keys[account]
}

// removedKey returns the key that was removed last, "" if there is none.
func (o *operator) removedKey() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.removed) == 0 {
		return ""
	}
	return o.removed[len(o.removed)-1]
}

// changeConfig writes the configuration without a change of its content.
func (o *operator) changeConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writeConfig()
}

// removedQueue stands for the service of a queue that is not in the configuration.
const removedQueue = "-"

// moveQueue lets a queue name another service, or removes it.
func (o *operator) moveQueue(queue, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorder.Add(Event{Kind: KindMove, Queue: queue, Service: service}) // before the write, as in replaceKey
	o.pools[queue] = service
	o.writeConfig()
}

// replaceKey gives the other account a new key in place of its key.
func (o *operator) replaceKey() {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, next := o.keys[accountOther], fmt.Sprintf("%s-%d", accountOther, o.version)
	o.keys[accountOther] = next
	// Recorded before the write, so that no answer by the new configuration comes
	// before it in the record.
	o.recorder.Add(Event{Kind: KindKeyRemoved, Key: old})
	o.recorder.Add(Event{Kind: KindKeyAdded, Key: next})
	o.writeConfig()
	o.removed = append(o.removed, old)
}
