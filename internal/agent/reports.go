package agent

import (
	"fmt"

	"github.com/coltsfootlug/coltsfootlug/internal/agent/groups"
	"github.com/coltsfootlug/coltsfootlug/internal/rpc"
	"google.golang.org/protobuf/proto"
)

const (
	// maxResultBytes bounds the size of the result in one report.
	maxResultBytes = rpc.MaxBodyBytes
	// maxHelloBytes bounds the total size of the reports in one hello.
	maxHelloBytes = rpc.MaxBodyBytes
	// reportOverheadBytes is the maximum encoding overhead of one report in a
	// hello.
	reportOverheadBytes = 8
)

var groupStates = map[groups.State]rpc.GroupState{
	groups.Held:         rpc.GroupState_GROUP_STATE_HELD,
	groups.Refused:      rpc.GroupState_GROUP_STATE_REFUSED,
	groups.Running:      rpc.GroupState_GROUP_STATE_RUNNING,
	groups.Done:         rpc.GroupState_GROUP_STATE_DONE,
	groups.Failed:       rpc.GroupState_GROUP_STATE_FAILED,
	groups.Checkpointed: rpc.GroupState_GROUP_STATE_CHECKPOINTED,
	groups.Stopped:      rpc.GroupState_GROUP_STATE_STOPPED,
	groups.Absent:       rpc.GroupState_GROUP_STATE_ABSENT,
}

// reportMessage returns the message for a report. A result larger than
// maxResultBytes is reported as a failure, since a truncated result would be wrong.
func reportMessage(r groups.Report) *rpc.GroupReport {
	if len(r.Result) > maxResultBytes {
		r.Detail = fmt.Sprintf("result of %d bytes (at most %d)", len(r.Result), maxResultBytes)
		r.State, r.Result = groups.Failed, nil
	}
	return &rpc.GroupReport{
		JobId:       r.Ref.JobID,
		Attempt:     r.Ref.Attempt,
		State:       groupStates[r.State],
		Tasks:       int32(r.Tasks),
		ProgressMs:  r.Progress.Milliseconds(),
		Usage:       rpc.FromResources(r.Usage),
		Detail:      r.Detail,
		Result:      r.Result,
		Checkpoint:  r.Checkpoint,
		WorkerFault: r.WorkerFault,
	}
}

// helloReports returns the reports that fit into one hello, reports without a
// result first. The owner receives the others in answer to lease renewals.
func helloReports(list []groups.Report) []*rpc.GroupReport {
	var out []*rpc.GroupReport
	size := 0
	for _, withResult := range []bool{false, true} {
		for _, r := range list {
			if (len(r.Result) > 0) != withResult {
				continue
			}
			m := reportMessage(r)
			if size += proto.Size(m) + reportOverheadBytes; size > maxHelloBytes {
				return out
			}
			out = append(out, m)
		}
	}
	return out
}
