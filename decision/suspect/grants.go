package suspect

import "time"

// ID identifies a root request, or an attempt of a call, throughout the fleet.
type ID [16]byte

// Call identifies one call of one root request, for which a second run is granted.
type Call struct {
	// Root identifies the root request.
	Root ID
	// Fingerprint identifies the call's content.
	Fingerprint uint64
}

// Grants holds the permissions to run a call of a root request once more after an
// attempt that may have crashed an endpoint. The node that received the root request
// keeps them for the whole call chain. It is not safe for concurrent use.
type Grants struct {
	granted map[Call]grant
}

type grant struct {
	holder  ID
	expires time.Duration
}

// NewGrants returns an empty table.
func NewGrants() *Grants {
	return &Grants{granted: make(map[Call]grant)}
}

// Grant reports whether a call may be run once more. Only the first holder that asks
// is granted the run, also when it repeats the request. A full table grants nothing.
func (g *Grants) Grant(now time.Duration, c Call, holder ID) bool {
	if one, ok := g.granted[c]; ok && now < one.expires {
		return one.holder == holder
	}
	if len(g.granted) >= entriesMax {
		g.removeExpired(now)
	}
	if len(g.granted) >= entriesMax {
		return false
	}
	g.granted[c] = grant{holder: holder, expires: now + lifetime}
	return true
}

func (g *Grants) removeExpired(now time.Duration) {
	for c, one := range g.granted {
		if now >= one.expires {
			delete(g.granted, c)
		}
	}
}
