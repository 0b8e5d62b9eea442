package outcome

// Times in milliseconds.
const (
	claimTimeout        = 1500  // from the break of an attempt's connection until its node must have reported what became of it
	runningClaimTimeout = 8000  // the same for a running task: the break alone says nothing about its end
	claimExtension      = 2000  // added each time that other schedulers still hear from the node
	maxClaimTimeout     = 60000 // silence of the node after which there are no more extensions
	lateStartMargin     = 2500  // added to the settle times for which a late start is kept
	attemptRetention    = 60000
	connectTimeout      = 250 // for an attempt to get a connection to its node
	probeTimeout        = 500 // of a probe, from its sending or from the first dial for it
	endTimeout          = 1000
	lingerTime          = 600
)

// maxClaims is how often an abandoned attempt is claimed.
const maxClaims = 3

// ClaimTimeout returns the time after the break of an attempt's connection within which its node must report what became of it.
func ClaimTimeout(running bool) float64 {
	if running {
		return runningClaimTimeout
	}
	return claimTimeout
}

// ClaimExtension returns how much longer, in ms, to wait for a running task whose node has been silent for a time, 0 if no longer. alive
// says that other schedulers hear from the node in the same incarnation.
func ClaimExtension(silence float64, alive bool) float64 {
	if !alive || silence >= maxClaimTimeout {
		return 0
	}
	return claimExtension
}

// MaxClaims returns how often an abandoned attempt that must not take effect twice is claimed.
func MaxClaims() int { return maxClaims }

// ClaimInterval returns the time between two claims. All claims are made within the settle time, which the client waits before it retries.
func ClaimInterval(settleTime float64) float64 { return settleTime / (maxClaims + 1) }

// LateStartRetention returns how long a late start is kept for the client's next request. Clients wait for the settle time before it.
func LateStartRetention(settleTime float64) float64 { return 2*settleTime + lateStartMargin }

// AttemptRetention returns how long an abandoned attempt is remembered, so that its late answers can be matched to it.
func AttemptRetention() float64 { return attemptRetention }

// ConnectTimeout returns how long an attempt waits for a connection. After that, it provably was never sent.
func ConnectTimeout() float64 { return connectTimeout }

// ProbeTimeout returns how long to wait for the answer to a probe.
func ProbeTimeout() float64 { return probeTimeout }

// ProbeTimeoutFor returns the time-out of a probe if making a connection may take connectTime: it leaves at least as long again for the
// answer.
func ProbeTimeoutFor(connectTime float64) float64 { return max(probeTimeout, 2*connectTime) }

// EndTimeout returns how long to wait for a node to confirm the end of a task that was asked to end.
func EndTimeout() float64 { return endTimeout }

// Linger returns how long a connection on which an attempt was abandoned stays open for late answers.
func Linger() float64 { return lingerTime }
