package suspect

import "time"

// ID identifies a root request, or an attempt of a call, over the whole fleet.
type ID [16]byte

// Call is what a further run is granted for: one call of one root request.
type Call struct {
	// Root identifies the root request.
	Root ID
	// Fingerprint identifies the call's content.
	Fingerprint uint64
}

// Grants lets each call of a root request be run once more after an attempt
// that may have broken an endpoint. The node where the root request entered
// keeps them for the whole chain. It is not safe for concurrent use.
type Grants struct {
	given map[Call]grant
}

type grant struct {
	holder  ID
	expires time.Duration
}

// NewGrants returns an empty table.
func NewGrants() *Grants {
	return &Grants{given: make(map[Call]grant)}
}

// Grant reports whether a call may be run once more. The first holder that asks
// is granted the run, and again when it repeats the question. A full table
// grants nothing.
func (g *Grants) Grant(now time.Duration, c Call, holder ID) bool {
	if one, ok := g.given[c]; ok && now < one.expires {
		return one.holder == holder
	}
	if len(g.given) >= entriesMax {
		g.sweep(now)
	}
	if len(g.given) >= entriesMax {
		return false
	}
	g.given[c] = grant{holder: holder, expires: now + lifetime}
	return true
}

func (g *Grants) sweep(now time.Duration) {
	for c, one := range g.given {
		if now >= one.expires {
			delete(g.given, c)
		}
	}
}
