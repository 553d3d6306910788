package graph

// RunState is an active run as reported by a worker.
type RunState struct {
	Task       TaskID
	Run        uint64
	Checkpoint string
	Percent    int
}

// Presence is what a worker's list of runs shows of one run.
type Presence int

// The values of Presence.
const (
	// PresenceUnknown: the run is not listed, and the list may be cut.
	PresenceUnknown Presence = iota
	// PresenceAbsent: the list is complete and does not contain the run.
	PresenceAbsent
	// PresenceListed: the run is listed as running or ended.
	PresenceListed
)

// EndKind is the way a run ended.
type EndKind string

// The ways a run ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the worker's lease expired
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members did not start in time
	EndNeverStarted   EndKind = "absent" // the run never started and never will
	EndWorkerLost     EndKind = "gone"   // the worker's incarnation ended or its lease expired
)

// RunEnd is the end of a run. A worker reports it until it is acknowledged.
type RunEnd struct {
	Number     uint64 // sequence number within the worker's incarnation, from 1
	Task       TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}
