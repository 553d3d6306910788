package confstate

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
	"github.com/coltsfootlug/coltsfootlug/internal/ledger"
)

// Keys of the configuration's rows. Both rows are written in one transaction. The
// head is a separate, small row to keep polling cheap.
const (
	headKey = "config/head"
	docKey  = "config/doc"
)

// MaxVersion is the highest version of a configuration. A higher one is not from an
// entry: versions count the changes.
const MaxVersion = 1 << 53

type head struct {
	Version uint64 `json:"version"`
}

// storedConfig is a configuration with the versions of the rows that store it.
type storedConfig struct {
	config      *api.Config
	headVersion uint64
	docVersion  uint64
}

func decodeHead(r ledger.Row) (uint64, error) {
	if r.Version == 0 {
		return 0, nil
	}
	var h head
	if err := json.Unmarshal(r.Data, &h); err != nil {
		return 0, errors.Annotatef(err, "row %q", headKey)
	}
	if h.Version == 0 || h.Version > MaxVersion {
		return 0, errors.NotValidf("row %q: version %d", headKey, h.Version)
	}
	return h.Version, nil
}

// decodeStoredConfig decodes the rows of head and document, in this order.
func decodeStoredConfig(rows []ledger.Row) (*storedConfig, error) {
	if len(rows) != 2 {
		return nil, errors.NotValidf("answer with %d rows (want 2)", len(rows))
	}
	stored := &storedConfig{config: &api.Config{}, headVersion: rows[0].Version, docVersion: rows[1].Version}
	if rows[1].Version != 0 {
		if err := json.Unmarshal(rows[1].Data, stored.config); err != nil {
			return nil, errors.Annotatef(err, "row %q", docKey)
		}
	}
	version, err := decodeHead(rows[0])
	if err != nil {
		return nil, err
	}
	if stored.config.Version != version {
		return nil, errors.NotValidf("row %q: version %d beside a head of version %d", docKey, stored.config.Version, version)
	}
	stored.config = stored.config.Clone()
	return stored, nil
}

// replaceUnreadable returns the rows that cannot be decoded as if they held the known
// configuration, so that the next edit replaces them. It fails if no configuration is
// known, or if the head tells of a later one.
func replaceUnreadable(rows []ledger.Row, known *api.Config) (*storedConfig, error) {
	if len(rows) != 2 || known.Version == 0 {
		return nil, errors.NotFoundf("configuration to replace unreadable rows with")
	}
	if version, err := decodeHead(rows[0]); err == nil && version > known.Version {
		return nil, errors.NotValidf("known configuration of version %d for rows with version %d", known.Version, version)
	}
	return &storedConfig{config: known, headVersion: rows[0].Version, docVersion: rows[1].Version}, nil
}

// writes returns the writes that replace the stored configuration by c.
func (s *storedConfig) writes(c *api.Config) ([]ledger.Write, error) {
	h, err := json.Marshal(head{c.Version})
	if err != nil {
		return nil, errors.Trace(err)
	}
	doc, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return []ledger.Write{
		{Key: headKey, Version: s.headVersion, Data: h},
		{Key: docKey, Version: s.docVersion, Data: doc},
	}, nil
}
