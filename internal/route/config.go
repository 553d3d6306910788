package route

import "time"

// Config holds the settings of a Core. Zero values take the defaults.
type Config struct {
	// Entries is the number of entries that share the agents, this one
	// included; Peers changes it.
	Entries int
	// MaxOpen bounds the open requests, that is, those queued or in progress;
	// further ones are refused with ReasonQueueFull.
	MaxOpen int
	// MaxQueue bounds the queue of a profile that sets no bound of its own.
	MaxQueue int
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxAgents bounds the known agents; the links of further ones are ignored.
	MaxAgents int
	// MaxFlows bounds, for each service, the flows whose service times are
	// remembered. Flows without open requests are evicted, the least recently
	// used first.
	MaxFlows int
	// RetryFraction is the number of retries earned by each request that ends
	// at its first attempt.
	RetryFraction float64
	// RetryBurst bounds the retries that can be saved up.
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
	// heartbeatMaxAge is the age of an agent's last heartbeat above which the
	// agent is sent no new work.
	heartbeatMaxAge = 900 * time.Millisecond
	// suspicionTimeout is the time without a heartbeat after which the
	// idempotent requests of a linked agent are retried elsewhere.
	suspicionTimeout = 1500 * time.Millisecond
	// unservableTimeout is how long requests stay queued while the entry has no
	// fresh configuration or the service has no usable endpoint.
	unservableTimeout = time.Second
	// startupGrace replaces unservableTimeout for an entry that has just
	// started.
	startupGrace = 2 * time.Second
	// relinkGrace is the time that an agent has to open a lost link again before
	// its idempotent requests are retried elsewhere.
	relinkGrace = 300 * time.Millisecond
	// pauseThreshold is the time between two Steps above which the entry's
	// process is taken to have been paused.
	pauseThreshold = 500 * time.Millisecond
	// claimTimeout bounds a claim. A claim that is won later is of no use: the
	// permission to start, which counts from its clock stamp, has lapsed.
	claimTimeout = PermitTTL
	// breakerThreshold is the number of failed claims in a row after which
	// requests that need a claim are refused, except one each breakerPause.
	breakerThreshold = 3
	breakerPause     = time.Second
	// probeDelay is the time from an Execute to the first probe for its outcome.
	// It exceeds PermitTTL because a probe cancels an execution that has not
	// started.
	probeDelay = PermitTTL + 500*time.Millisecond
	// maxProbeInterval bounds the time between two probes, which doubles with
	// each probe.
	maxProbeInterval = 8 * time.Second
	// lostAttemptTimeout is how long an idempotent request for which no retry is
	// left waits for the result of its lost attempt.
	lostAttemptTimeout = 2 * time.Second
	// attemptGrace is how long an attempt may occupy its slot after the deadline
	// of its request.
	attemptGrace = 2 * time.Second
	// agentRetention is how long an agent without a link or open attempts is
	// remembered.
	agentRetention = 10 * time.Minute
	// slowStartInterval is the time in which the limit of an agent in slow start
	// grows by one, in addition to one for each success.
	slowStartInterval = 250 * time.Millisecond
	// slowStartAfter is how long an agent must have been unusable to go through a
	// slow start again.
	slowStartAfter = 2 * time.Second
	// slowStartLimit is the limit of an agent at the beginning of its slow start.
	slowStartLimit = 2
	// refusalBackoff is the backoff after an agent's first refusal; it doubles
	// with each further refusal in a row up to maxRefusalBackoff.
	refusalBackoff    = TickInterval
	maxRefusalBackoff = time.Second
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// newIncarnationGrace is how long a request follows the holder of its key
	// while the holder's agent is linked under another incarnation.
	newIncarnationGrace = 2 * time.Second
	// defaultServiceTime is the cost of a request while no service time has been
	// learned.
	defaultServiceTime = 10 * time.Millisecond
	// learnRate is the weight of the newest sample in the moving averages.
	learnRate = 0.1
	// maxDeviations is the number of mean absolute deviations above the mean
	// within which a request is expected to end.
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
