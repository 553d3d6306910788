package graphs

// relayResult combines the answers of the entries that one request was relayed to.
// The requests are idempotent, so a request whose outcome is unknown may be sent to
// another entry; only a success then resolves it.
type relayResult struct {
	verb    string
	inDoubt bool   // an entry may have carried out the request
	refusal Answer // the last refusal
	refused bool
}

// recordFailure records that an entry did not answer. sent is false if the request
// certainly did not reach it. A lookup has no effect that could be in doubt.
func (r *relayResult) recordFailure(sent bool) {
	r.inDoubt = r.inDoubt || sent && r.verb != verbLookup
}

// recordAnswer records the answer of an entry and reports whether it is final. A
// refusal is not, because another entry may reach the store.
func (r *relayResult) recordAnswer(a Answer) (final bool) {
	switch {
	case a.Outcome == OK:
		return true
	case a.Outcome == Unknown:
		r.inDoubt = true
		return false
	case a.Outcome == Refused:
		r.refusal, r.refused = a, true
		return false
	default:
		return !r.inDoubt
	}
}

// result returns the answer if none was final; ok is false if no entry answered
// and none may have carried out the request.
func (r *relayResult) result() (a Answer, ok bool) {
	switch {
	case r.inDoubt:
		return Answer{Outcome: Unknown, Detail: "another entry did not answer", ConfigVersion: r.refusal.ConfigVersion}, true
	case r.refused:
		return r.refusal, true
	default:
		return Answer{}, false
	}
}
