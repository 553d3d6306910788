package external

import "github.com/coltsfootlug/coltsfootlug/internal/api"

// Paths of the HTTP interfaces. Every service also serves PathHealth.
const (
	PathHealth           = "/health"
	PathTableGet         = "/table/get"
	PathTableScan        = "/table/scan"
	PathTableCommit      = "/table/commit"
	PathObjects          = "/objects/" // followed by the key
	PathWorkerStart      = "/tasks/start"
	PathWorkerRenew      = "/tasks/renew"
	PathWorkerCheckpoint = "/tasks/checkpoint"
	PathWorkerThrottle   = "/tasks/throttle"
	PathWorkerStop       = "/tasks/stop"
	PathWorkerList       = "/tasks/list"
	PathMinionCall       = "/call"
)

// Headers of a call to a minion.
const (
	HeaderRequestID = "Request-Id"
	HeaderAttempt   = "Request-Attempt"
)

// GetRequest is the body of PathTableGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of PathTableScan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsReply is the response to PathTableGet and PathTableScan.
type RowsReply struct {
	Rows []Row `json:"rows"`
}

// RenewRequest is the body of PathWorkerRenew.
type RenewRequest struct {
	IDs     []string `json:"ids"`
	LeaseMS int64    `json:"lease_ms"`
}

// TaskRequest is the body of PathWorkerCheckpoint, PathWorkerStop and
// PathWorkerThrottle. Limit is used by PathWorkerThrottle only.
type TaskRequest struct {
	ID    string        `json:"id"`
	Limit api.Resources `json:"limit"`
}

// ListReply is the response to PathWorkerList.
type ListReply struct {
	Tasks []TaskStatus `json:"tasks"`
}
