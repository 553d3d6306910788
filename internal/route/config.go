package route

import "time"

// Config holds the settings of a Core. Zero values take the defaults.
type Config struct {
	// Entries is the number of entries that share the agents, this one
	// included; Peers changes it.
	Entries int
	// MaxOpen bounds the requests that are queued or under way; further ones
	// are refused with ReasonQueueFull.
	MaxOpen int
	// MaxQueue bounds the queue of a profile that sets no bound of its own.
	MaxQueue int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxAgents bounds the known agents; further ones are ignored.
	MaxAgents int
	// MaxFlows bounds the profiles with learned times for each service; the
	// times of profiles without requests are forgotten, the oldest first.
	MaxFlows int
	// RetryFraction is the number of retries earned by each request that
	// succeeds at its first attempt.
	RetryFraction float64
	// RetryBurst bounds the saved retries.
	RetryBurst float64
}

// Defaults of Config.
const (
	DefaultEntries       = 2
	DefaultMaxOpen       = 50000
	DefaultMaxQueue      = 1000
	DefaultMaxAttempts   = 16
	DefaultMaxAgents     = 16384
	DefaultMaxFlows      = 4096
	DefaultRetryFraction = 0.1
	DefaultRetryBurst    = 50.0
)

const (
	// heartbeatMaxAge is the age of an agent's last heartbeat beyond which nothing
	// new is sent to it.
	heartbeatMaxAge = 900 * time.Millisecond
	// suspicionTimeout is the silence of an agent after which its idempotent
	// requests are retried elsewhere.
	suspicionTimeout = 1500 * time.Millisecond
	// unservableTimeout is how long requests wait in a queue that cannot be
	// served, for want of a fresh configuration or of endpoints.
	unservableTimeout = time.Second
	// startupGrace is refusalPatience for an entry that has just started.
	startupGrace = 2 * time.Second
	// relinkGrace is the time for an agent to open a lost link again, before its
	// idempotent requests are retried elsewhere.
	relinkGrace = 300 * time.Millisecond
	// pauseThreshold is a time between two Steps that shows a pause of the entry.
	pauseThreshold = 500 * time.Millisecond
	// claimTimeout is how long a claim may take; one that is won later carries
	// a stamp that has lapsed.
	claimTimeout = PermitTTL
	// breakerThreshold is the number of failed claims in a row after which keys
	// are refused, but for one claim each breakerPause.
	breakerThreshold = 3
	breakerPause     = time.Second
	// probeDelay is the time after an Execute at which the agent is asked for
	// the outcome; the permission to start has lapsed by then.
	probeDelay = PermitTTL + 500*time.Millisecond
	// maxProbeInterval bounds the time between two probes, which doubles.
	maxProbeInterval = 8 * time.Second
	// lostAttemptTimeout is how long an idempotent request without a retry left
	// waits for word from its lost attempt.
	lostAttemptTimeout = 2 * time.Second
	// attemptGrace is how long after its deadline an attempt may hold a slot.
	attemptGrace = 2 * time.Second
	// agentRetention is how long an agent without a link is remembered.
	agentRetention = 10 * time.Minute
	// slowStartInterval is the time in which a starting agent's limit grows by one.
	slowStartInterval = 250 * time.Millisecond
	// slowStartAfter is the time without new work after which an agent starts slowly.
	slowStartAfter = 2 * time.Second
	// slowStartLimit is the limit of an agent that starts.
	slowStartLimit = 2
	// refusalBackoff is the pause after an agent's first refusal; it doubles
	// with each further one up to maxRefusalBackoff.
	refusalBackoff    = TickInterval
	maxRefusalBackoff = time.Second
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// newIncarnationGrace is how long the holder of a key may be absent
	// while its agent is linked under another incarnation.
	newIncarnationGrace = 2 * time.Second
	// defaultServiceTime is the cost of a request before any time is learned.
	defaultServiceTime = 10 * time.Millisecond
	// learnRate is the weight of the newest service time in the averages.
	learnRate = 0.1
	// maxDeviations is how far above the mean a request is expected to end at most.
	maxDeviations = 2
)

func (c Config) withDefaults() Config {
	setDefault(&c.Entries, DefaultEntries)
	setDefault(&c.MaxOpen, DefaultMaxOpen)
	setDefault(&c.MaxQueue, DefaultMaxQueue)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.MaxAgents, DefaultMaxAgents)
	setDefault(&c.MaxFlows, DefaultMaxFlows)
	setDefault(&c.RetryFraction, DefaultRetryFraction)
	setDefault(&c.RetryBurst, DefaultRetryBurst)
	return c
}

func setDefault[T int | float64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
