package readers

// LostCall describes a call to the platform that got no answer in time.
type LostCall struct {
	// Listing says that the call was part of a list, and not a watch.
	Listing bool
	// Consecutive is the number of calls that were lost in a row, including this one.
	Consecutive int
	// Reached says that the platform has answered a call on a new connection since.
	Reached bool
}

// ReadAction is what a reader does next after a lost call.
type ReadAction uint8

// The actions.
const (
	// ReadAgain means to repeat the call on a new connection: a list, or a watch from the
	// same revision.
	ReadAgain ReadAction = iota
	// ReadList means to list everything.
	ReadList
	// ReadUnavailable means that the platform is unavailable, and to list everything as soon
	// as it answers.
	ReadUnavailable
)

// AfterLostCall returns what a reader does next. Open connections can go silent for good while
// new ones work, so a lost call doesn't show that the platform is unavailable. A watch from the
// known revision makes up for the silence; if that is lost too, watches don't work although
// other reads do.
func AfterLostCall(l LostCall) ReadAction {
	switch {
	case !l.Reached, l.Listing && l.Consecutive > 1:
		return ReadUnavailable
	case l.Consecutive > 1:
		return ReadList
	default:
		return ReadAgain
	}
}
