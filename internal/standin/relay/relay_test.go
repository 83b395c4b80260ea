package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/testaddress"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	settle = 50 * time.Millisecond
	long   = 20 * time.Second
)

// start runs a relay in front of a server that sends back what it gets, in zone
// "b", and returns a function that connects to it from zone "a".
func start(t *testing.T, timeout time.Duration) (*Relay, func() (net.Conn, error)) {
	t.Helper()
	echo, err := net.Listen("tcp", testaddress.New())
	require.NoError(t, err)
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for conn, err := echo.Accept(); err == nil; conn, err = echo.Accept() {
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	s := &Settings{
		AdminAddress: testaddress.New(),
		Routes:       []Route{{Address: testaddress.New(), Target: echo.Addr().String(), AvailabilityZone: "b"}},
		Sources:      []Source{{Address: "127.0.0.9", AvailabilityZone: "a"}},
	}
	require.Empty(t, s.check())
	r := New(s, event.NewLog(io.Discard, "standin", "relay", zerolog.InfoLevel))
	ctx, cancel := context.WithCancel(context.Background())
	l, err := r.listenAt(ctx, &s.Routes[0])
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- r.serve(ctx, l, &s.Routes[0]) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return r, func() (net.Conn, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.0.9")}, Timeout: timeout}
		return d.Dial("tcp", s.Routes[0].Address)
	}
}

func open(t *testing.T, connect func() (net.Conn, error)) net.Conn {
	t.Helper()
	conn, err := connect()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends text and returns what comes back within a bound.
func ask(t *testing.T, conn net.Conn, text string, bound time.Duration) (string, error) {
	t.Helper()
	if text != "" {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(bound)))
	buffer := make([]byte, 100)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

func TestRelay(t *testing.T) {
	across := Partition{AvailabilityZones: []string{"a"}}
	for _, elsewhere := range []Partition{{}, {AvailabilityZones: []string{"c"}}, {AvailabilityZones: []string{"c"}, Mode: ModeReset}} {
		r, connect := start(t, long)
		require.NoError(t, r.SetPartition(elsewhere))
		got, err := ask(t, open(t, connect), "open", long)
		require.NoError(t, err)
		require.Equal(t, "open", got)
	}
	t.Run("bytes wait for the heal", func(t *testing.T) {
		r, connect := start(t, long)
		conn := open(t, connect)
		_, err := ask(t, conn, "before", long)
		require.NoError(t, err)
		require.NoError(t, r.SetPartition(across))
		_, err = ask(t, conn, "during", settle)
		require.ErrorContains(t, err, "timeout")
		require.NoError(t, r.SetPartition(Partition{}))
		got, err := ask(t, conn, "", long)
		require.NoError(t, err)
		require.Equal(t, "during", got)
	})
	for _, mode := range []Mode{ModeBlackHole, ModeReset} {
		t.Run("new connections hang: "+string(mode), func(t *testing.T) {
			r, connect := start(t, settle)
			require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: mode}))
			_, err := connect()
			require.ErrorContains(t, err, "timeout")
			require.NoError(t, r.SetPartition(Partition{}))
			require.Eventually(t, func() bool {
				conn, err := connect()
				return err == nil && conn.Close() == nil
			}, long, settle)
		})
	}
	t.Run("open connections are reset", func(t *testing.T) {
		r, connect := start(t, long)
		conn := open(t, connect)
		_, err := ask(t, conn, "before", long)
		require.NoError(t, err)
		require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: ModeReset}))
		_, err = ask(t, conn, "", long)
		require.ErrorContains(t, err, "reset")
	})
	for mode, arrives := range map[Mode]bool{ModeInbound: false, ModeOutbound: true} {
		t.Run("one way waits: "+string(mode), func(t *testing.T) {
			r, connect := start(t, long)
			conn := open(t, connect)
			_, err := ask(t, conn, "before", long)
			require.NoError(t, err)
			require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: mode}))
			_, err = ask(t, conn, "during", settle)
			require.ErrorContains(t, err, "timeout", "one way is enough for no answer")
			require.Equal(t, arrives, !r.network.cut.stops("a", "b"))
			require.Equal(t, arrives, r.network.cut.stops("b", "a"))
			require.NoError(t, r.SetPartition(Partition{}))
			got, err := ask(t, conn, "", long)
			require.NoError(t, err)
			require.Equal(t, "during", got)
		})
	}
	t.Run("bytes come later", func(t *testing.T) {
		r, connect := start(t, long)
		require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: ModeDelay, DelayMs: 60}))
		began := time.Now()
		got, err := ask(t, open(t, connect), "late", long)
		require.NoError(t, err)
		require.Equal(t, "late", got)
		require.GreaterOrEqual(t, time.Since(began), 120*time.Millisecond, "there and back")
	})
	t.Run("the end of one way passes", func(t *testing.T) {
		_, connect := start(t, long)
		conn := open(t, connect).(*net.TCPConn)
		_, err := ask(t, conn, "last", long)
		require.NoError(t, err)
		require.NoError(t, conn.CloseWrite())
		_, err = ask(t, conn, "", long)
		require.ErrorIs(t, err, io.EOF)
	})
}
