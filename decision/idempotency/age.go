package idempotency

import "time"

// CheckToken decides whether a token may still start a request. minted is the
// time, since the start of the home's process, at which the home issued it.
// The home's own monotonic clock is the only one that counts.
func CheckToken(now, minted, lifetime time.Duration) Verdict {
	if minted > now || now-minted >= lifetime {
		return VerdictExpired
	}
	return VerdictRun
}

// CheckCallerKey decides whether a home may start a request whose key the caller
// chose. age is the age of the home's process. A young process can't know what
// an earlier process at the same address ran.
func CheckCallerKey(age, lifetime time.Duration) Verdict {
	if age < 2*lifetime {
		return VerdictProcessTooNew
	}
	return VerdictRun
}

// AbsenceProvesNotRun reports whether a missing record proves that the request of a
// token was never started. A record is kept for two lifetimes after the request
// began, so the proof holds until two lifetimes after the token was issued.
func AbsenceProvesNotRun(now, minted, lifetime time.Duration) bool {
	return minted <= now && now-minted < 2*lifetime
}
