package outcome

// Times in milliseconds.
const (
	claimTimeout        = 1500  // for the node of an attempt whose connection broke to say what became of it
	runningClaimTimeout = 8000  // the same for a running task: the break alone says nothing about its end
	claimExtension      = 2000  // each time that other schedulers still hear from the node
	maxClaimTimeout     = 60000 // of a silent node, with all extensions
	lateStartMargin     = 2500  // beyond the settle times for which a late start is kept
	attemptRetention    = 60000
	connectTimeout      = 250 // of an attempt for the connection to its node
	probeTimeout        = 500 // of a probe, from its sending or from the first dial for it
	endTimeout          = 1000
	lingerTime          = 600
)

// maxClaims is how often an attempt that was given up is claimed.
const maxClaims = 3

// ClaimTimeout returns how long an attempt whose connection broke waits until it is claimed.
func ClaimTimeout(running bool) float64 {
	if running {
		return runningClaimTimeout
	}
	return claimTimeout
}

// ClaimExtension returns how much longer a running task is waited for whose node has been silent for some ms, 0 if no longer. alive says
// that other schedulers hear from the node in the same incarnation.
func ClaimExtension(silent float64, alive bool) float64 {
	if !alive || silent >= maxClaimTimeout {
		return 0
	}
	return claimExtension
}

// MaxClaims returns how often an attempt that was given up and must not take effect twice is claimed.
func MaxClaims() int { return maxClaims }

// ClaimInterval returns the time between two claims. All are within the settle time, which the client waits before it retries.
func ClaimInterval(settle float64) float64 { return settle / (maxClaims + 1) }

// LateStartRetention returns how long a late start is kept for the client's next request. Clients wait the settle time first.
func LateStartRetention(settle float64) float64 { return 2*settle + lateStartMargin }

// AttemptRetention returns how long an attempt that was given up is remembered, so that its late answers are understood.
func AttemptRetention() float64 { return attemptRetention }

// ConnectTimeout returns how long an attempt waits for a connection before it provably was never sent.
func ConnectTimeout() float64 { return connectTimeout }

// ProbeTimeout returns how long a probe's answer is waited for.
func ProbeTimeout() float64 { return probeTimeout }

// ProbeTimeoutFor returns the same where a connection may take some ms to be made: as long again is left for the answer.
func ProbeTimeoutFor(connect float64) float64 { return max(probeTimeout, 2*connect) }

// EndTimeout returns how long a node may take to confirm an end that it was notified of.
func EndTimeout() float64 { return endTimeout }

// Linger returns how long a connection on which an attempt was given up stays open for late answers.
func Linger() float64 { return lingerTime }
