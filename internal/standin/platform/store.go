package platform

import (
	"maps"
	"sync"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value of a key.
const MaxValueBytes = 1 << 20

// ErrValueTooLarge is returned for a value larger than MaxValueBytes.
var ErrValueTooLarge = errors.Errorf("value is larger than %d bytes", MaxValueBytes)

// Entry is the value of one key.
type Entry struct {
	// Value is the raw value. It must not be modified.
	Value []byte
	// Revision is the revision of the last write of the key.
	Revision uint64
}

// State is an immutable snapshot of all keys.
type State struct {
	// Revision is the revision of the latest write.
	Revision uint64

	entries map[string]Entry
}

// Get returns the entry of a key, and false if the key is absent.
func (s *State) Get(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// withValue returns the next state, in which key has the given value.
func (s *State) withValue(key string, value []byte) *State {
	next := &State{Revision: s.Revision + 1, entries: maps.Clone(s.entries)}
	next.entries[key] = Entry{Value: value, Revision: next.Revision}
	return next
}

// Store holds the history of states and selects the state that readers see. It is
// safe for concurrent use.
type Store struct {
	mu               sync.Mutex
	history          []*State // oldest first, never empty
	historyMax       int      // maximum number of older states in history
	mode             Mode
	published        *State        // nil: the newest state
	closeConnections bool          // in ModeDown, in place of a response
	changed          chan struct{} // closed when the view changes
}

// NewStore returns an empty store that retains up to historyMax older states. The
// first write gets revision first.
func NewStore(first uint64, historyMax int) *Store {
	empty := &State{Revision: first - 1, entries: map[string]Entry{}}
	return &Store{history: []*State{empty}, historyMax: historyMax, mode: ModeUp, changed: make(chan struct{})}
}

// View is a consistent snapshot of the mode and the published state.
type View struct {
	// Mode is the platform's mode.
	Mode Mode
	// ClosesConnections is set if ModeDown closes connections in place of responding.
	ClosesConnections bool
	// State is the published state.
	State *State
	// Changed is closed when the view becomes outdated.
	Changed <-chan struct{}
}

// View returns the current view.
func (s *Store) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{Mode: s.mode, ClosesConnections: s.closeConnections, State: s.published, Changed: s.changed}
	if v.State == nil {
		v.State = s.newest()
	}
	return v
}

// Put stores a new value and returns its revision.
func (s *Store) Put(key string, value []byte) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrValueTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.newest().withValue(key, value)
	s.history = append(s.history, next)
	if extra := len(s.history) - s.historyMax - 1; extra > 0 {
		s.history = append([]*State(nil), s.history[extra:]...)
	}
	s.notifyReaders()
	return next.Revision, nil
}

// SetMode changes the mode and selects the state to publish.
func (s *Store) SetMode(c ModeChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	published, err := s.stateFor(c)
	if err != nil {
		return err
	}
	s.mode = c.Mode
	s.published = published
	s.closeConnections = c.CloseConnections
	if c.Mode == ModeRollback && c.Permanent {
		s.history = s.history[:len(s.history)-c.Revisions]
		s.mode = ModeUp
		s.published = nil
	}
	s.notifyReaders()
	return nil
}

// stateFor returns the state to publish after a change of mode; nil selects the
// newest.
func (s *Store) stateFor(c ModeChange) (*State, error) {
	switch c.Mode {
	case ModeUp, ModeDown:
		return nil, nil
	case ModeStale:
		if s.mode == ModeStale {
			return s.published, nil
		}
		return s.newest(), nil
	case ModeRollback:
		index := len(s.history) - 1 - c.Revisions
		if c.Revisions < 1 || index < 0 {
			return nil, errors.Errorf("revisions: want 1 to %d, have %d", len(s.history)-1, c.Revisions)
		}
		return s.history[index], nil
	default:
		return nil, errors.Errorf("mode: want up, down, stale or rollback, have %q", c.Mode)
	}
}

func (s *Store) newest() *State {
	return s.history[len(s.history)-1]
}

// notifyReaders makes all waiting readers reload the view.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
