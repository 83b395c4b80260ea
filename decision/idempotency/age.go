package idempotency

import "time"

// CheckToken decides whether a token may still start a request. issued is the time,
// since the start of the home's process, at which the home issued the token. Only the
// home's own monotonic clock is used.
func CheckToken(now, issued, lifetime time.Duration) Verdict {
	if issued > now || now-issued >= lifetime {
		return VerdictExpired
	}
	return VerdictRun
}

// CheckCallerKey decides whether a home may start a request whose key was chosen by the
// caller. uptime is the time since the start of the home's process. A process that
// started recently does not know what an earlier process at the same address ran.
func CheckCallerKey(uptime, lifetime time.Duration) Verdict {
	if uptime < 2*lifetime {
		return VerdictProcessTooNew
	}
	return VerdictRun
}

// AbsenceProvesNotRun reports whether a missing record proves that the request of a token
// was never started. A record is kept for two lifetimes after the request began, so the
// proof holds until two lifetimes after the token was issued.
func AbsenceProvesNotRun(now, issued, lifetime time.Duration) bool {
	return issued <= now && now-issued < 2*lifetime
}
