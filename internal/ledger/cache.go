package ledger

import "sync"

// maxCachedTokens bounds the rows whose tokens a client remembers.
const maxCachedTokens = 16384

// tokenCache remembers the tokens and tombstones of rows that the client has
// read or written lately, so that a write needs no read to carry on a row's
// list of tokens.
type tokenCache struct {
	mu   sync.Mutex
	rows map[string]cachedTokens
	ring []string
	next int
}

type cachedTokens struct {
	version uint64
	deleted bool
	stamps  []stamp
}

func newTokenCache() *tokenCache {
	return &tokenCache{rows: map[string]cachedTokens{}}
}

func (t *tokenCache) put(s stored) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[s.key]
	if known && old.version > s.version && s.version != 0 {
		return
	}
	if !known {
		t.makeRoom(s.key)
	}
	t.rows[s.key] = cachedTokens{s.version, s.Deleted, s.Stamps}
}

// makeRoom enters a key into the ring, in place of the oldest if it is full.
func (t *tokenCache) makeRoom(key string) {
	if len(t.ring) < maxCachedTokens {
		t.ring = append(t.ring, key)
		return
	}
	delete(t.rows, t.ring[t.next])
	t.ring[t.next] = key
	t.next = (t.next + 1) % maxCachedTokens
}

// find returns the version in the table and the stamps for a write that
// expects the given version; ok is false if the row must be read first.
func (t *tokenCache) find(key string, version uint64) (have uint64, stamps []stamp, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, known := t.rows[key]
	if known && (c.version == version || version == 0 && c.deleted) {
		return c.version, c.stamps, true
	}
	return version, nil, version == 0
}
