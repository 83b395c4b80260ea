package platform

import (
	"maps"
	"sync"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value of a key.
const MaxValueBytes = 1 << 20

// ErrValueTooLarge is the error of a write over MaxValueBytes.
var ErrValueTooLarge = errors.Errorf("value is larger than %d bytes", MaxValueBytes)

// Entry is the value of one key.
type Entry struct {
	// Value is the raw value. It is not changed after it was stored.
	Value []byte
	// Revision is the revision at which the key last changed.
	Revision uint64
}

// State is one immutable state of all keys.
type State struct {
	// Revision is the revision of the newest write.
	Revision uint64

	entries map[string]Entry
}

// Get returns the entry of a key, and false when the key is absent.
func (s *State) Get(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

func (s *State) with(key string, value []byte) *State {
	next := &State{Revision: s.Revision + 1, entries: maps.Clone(s.entries)}
	next.entries[key] = Entry{Value: value, Revision: next.Revision}
	return next
}

// Store holds the states and which of them is shown to readers.
type Store struct {
	mu      sync.Mutex
	history []*State // the newest last, never empty
	keep    int
	mode    Mode
	shown   *State // nil: the newest
	closes  bool   // ModeDown closes connections
	changed chan struct{}
}

// NewStore returns an empty store that keeps a number of older states. The next
// write gets revision first.
func NewStore(first uint64, keep int) *Store {
	empty := &State{Revision: first - 1, entries: map[string]Entry{}}
	return &Store{history: []*State{empty}, keep: keep, mode: ModeUp, changed: make(chan struct{})}
}

// View is what a reader sees at one moment.
type View struct {
	// Mode is the platform's mode.
	Mode Mode
	// ClosesConnections says that ModeDown closes connections in place of answering.
	ClosesConnections bool
	// State is the state that is shown.
	State *State
	// Changed is closed when the view is out of date.
	Changed <-chan struct{}
}

// View returns what a reader sees now.
func (s *Store) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{Mode: s.mode, ClosesConnections: s.closes, State: s.shown, Changed: s.changed}
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
	next := s.newest().with(key, value)
	s.history = append(s.history, next)
	if extra := len(s.history) - s.keep - 1; extra > 0 {
		s.history = append([]*State(nil), s.history[extra:]...)
	}
	s.wake()
	return next.Revision, nil
}

// SetMode changes the mode and with it what readers see.
func (s *Store) SetMode(c ModeChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown, err := s.stateFor(c)
	if err != nil {
		return err
	}
	s.mode = c.Mode
	s.shown = shown
	s.closes = c.CloseConnections
	if c.Mode == ModeRollback && c.Permanent {
		s.history = s.history[:len(s.history)-c.Revisions]
		s.mode = ModeUp
		s.shown = nil
	}
	s.wake()
	return nil
}

// stateFor returns the state to show after a change of mode; nil is the newest.
func (s *Store) stateFor(c ModeChange) (*State, error) {
	switch c.Mode {
	case ModeUp, ModeDown:
		return nil, nil
	case ModeStale:
		if s.mode == ModeStale {
			return s.shown, nil
		}
		return s.newest(), nil
	case ModeRollback:
		at := len(s.history) - 1 - c.Revisions
		if c.Revisions < 1 || at < 0 {
			return nil, errors.Errorf("revisions: want 1 to %d, have %d", len(s.history)-1, c.Revisions)
		}
		return s.history[at], nil
	default:
		return nil, errors.Errorf("mode: want up, down, stale or rollback, have %q", c.Mode)
	}
}

func (s *Store) newest() *State {
	return s.history[len(s.history)-1]
}

// wake tells every waiting reader to look again.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
