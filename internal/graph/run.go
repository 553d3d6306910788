package graph

// RunState is a run that a worker lists as running.
type RunState struct {
	Task       TaskID
	Run        uint64
	Checkpoint string
	Percent    int
}

// EndKind tells how a run has ended.
type EndKind string

// How runs end.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the worker's lease ran out
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members did not come in time
	EndNeverStarted   EndKind = "absent" // it never began and never will
	EndWorkerLost     EndKind = "gone"   // with the worker's incarnation, or its lease
)

// RunEnd is an end that a worker lists until it is acknowledged.
type RunEnd struct {
	Number     uint64 // counts the ends of an incarnation from 1
	Task       TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}
