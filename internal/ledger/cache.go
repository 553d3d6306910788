package ledger

import "sync"

// maxCachedRows bounds the rows whose histories a client caches.
const maxCachedRows = 16384

// historyCache caches the histories of rows that the client has read or written
// recently, so that a write can extend a row's history without reading it first.
// The oldest entries are evicted first.
type historyCache struct {
	mu   sync.Mutex
	rows map[string]cachedHistory
	ring []string
	next int
}

type cachedHistory struct {
	version uint64
	deleted bool
	history []writeRecord
}

func newHistoryCache() *historyCache {
	return &historyCache{rows: map[string]cachedHistory{}}
}

func (h *historyCache) put(s storedRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.rows[s.key]
	if known && old.version > s.version && s.version != 0 {
		return
	}
	if !known {
		h.addToRing(s.key)
	}
	h.rows[s.key] = cachedHistory{s.version, s.Deleted, s.History}
}

// addToRing adds a key to the ring. If the ring is full, the key replaces the
// oldest one, which is evicted.
func (h *historyCache) addToRing(key string) {
	if len(h.ring) < maxCachedRows {
		h.ring = append(h.ring, key)
		return
	}
	delete(h.rows, h.ring[h.next])
	h.ring[h.next] = key
	h.next = (h.next + 1) % maxCachedRows
}

// lookup returns the row's version in the table and its history for a write that
// expects the given version; ok is false if the row must be read first.
func (h *historyCache) lookup(key string, version uint64) (tableVersion uint64, history []writeRecord, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cached, known := h.rows[key]
	if known && (cached.version == version || version == 0 && cached.deleted) {
		return cached.version, cached.history, true
	}
	return version, nil, version == 0
}
