package plan

import "time"

// checkpointSaveDelay is the time after which a checkpoint is saved if nothing else of its
// job is. It bounds the writes of a job whose tasks take checkpoints often, and the work that
// is lost when a worker crashes together with the owner.
const checkpointSaveDelay = 2 * time.Second

// noteCheckpoint records that a unit of the job has a checkpoint that no save holds.
func (j *job) noteCheckpoint(now time.Duration) {
	if !j.hasUnsavedCheckpoint {
		j.hasUnsavedCheckpoint, j.unsavedSince = true, now
	}
}

// saveCheckpoints requests a save of a job that has had an unsaved checkpoint for
// checkpointSaveDelay. A job whose saves are rejected is saved again by saveRejectedAgain.
func (c *Core) saveCheckpoints(j *job) {
	if j.hasUnsavedCheckpoint && !j.rejected && c.now-j.unsavedSince >= checkpointSaveDelay {
		c.requestSave(j, nil)
	}
}
