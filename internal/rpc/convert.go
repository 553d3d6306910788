package rpc

import (
	"github.com/cespare/xxhash/v2"
	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// FromResources converts resources to their message.
func FromResources(r api.Resources) *Resources {
	return &Resources{
		Accelerators: int32(r.Accelerators),
		MilliCpu:     int32(r.MilliCPU),
		MemoryMb:     int32(r.MemoryMB),
	}
}

// ToResources converts a message to resources; nil converts to zero.
func ToResources(r *Resources) api.Resources {
	return api.Resources{
		Accelerators: int(r.GetAccelerators()),
		MilliCPU:     int(r.GetMilliCpu()),
		MemoryMB:     int(r.GetMemoryMb()),
	}
}

var outcomes = map[Outcome]api.Outcome{
	Outcome_OUTCOME_DONE:    api.OutcomeDone,
	Outcome_OUTCOME_FAILED:  api.OutcomeFailed,
	Outcome_OUTCOME_NOT_RUN: api.OutcomeNotRun,
	Outcome_OUTCOME_UNKNOWN: api.OutcomeUnknown,
}

// ToOutcome converts an outcome from its message; an unspecified outcome becomes
// unknown.
func ToOutcome(o Outcome) api.Outcome {
	if out, ok := outcomes[o]; ok {
		return out
	}
	return api.OutcomeUnknown
}

// FromOutcome converts an outcome to its message; one without a message becomes
// unspecified.
func FromOutcome(o api.Outcome) Outcome {
	for k, v := range outcomes {
		if v == o {
			return k
		}
	}
	return Outcome_OUTCOME_UNSPECIFIED
}

// BodyIntact reports whether a body has the announced length and digest.
func BodyIntact(body []byte, length int64, digest uint64) bool {
	return int64(len(body)) == length && Digest(body) == digest
}

// Digest returns the xxhash64 of a body.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }
