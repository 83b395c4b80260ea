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
	shortTimeout = 50 * time.Millisecond // for blocked connections and data
	longTimeout  = 20 * time.Second
)

// startRelay runs a relay in front of an echo server in zone "b" and returns a
// function that connects to the relay from zone "a".
func startRelay(t *testing.T, timeout time.Duration) (*Relay, func() (net.Conn, error)) {
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

func openConnection(t *testing.T, connect func() (net.Conn, error)) net.Conn {
	t.Helper()
	conn, err := connect()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends text and returns the data received before the timeout.
func exchange(t *testing.T, conn net.Conn, text string, timeout time.Duration) (string, error) {
	t.Helper()
	if text != "" {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
	buffer := make([]byte, 100)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

func TestRelay(t *testing.T) {
	isolatedA := Partition{AvailabilityZones: []string{"a"}}
	for _, unrelated := range []Partition{{}, {AvailabilityZones: []string{"c"}}, {AvailabilityZones: []string{"c"}, Mode: ModeReset}} {
		r, connect := startRelay(t, longTimeout)
		require.NoError(t, r.SetPartition(unrelated))
		got, err := exchange(t, openConnection(t, connect), "open", longTimeout)
		require.NoError(t, err)
		require.Equal(t, "open", got)
	}
	t.Run("data is held back until the partition ends", func(t *testing.T) {
		r, connect := startRelay(t, longTimeout)
		conn := openConnection(t, connect)
		_, err := exchange(t, conn, "before", longTimeout)
		require.NoError(t, err)
		require.NoError(t, r.SetPartition(isolatedA))
		_, err = exchange(t, conn, "during", shortTimeout)
		require.ErrorContains(t, err, "timeout")
		require.NoError(t, r.SetPartition(Partition{}))
		got, err := exchange(t, conn, "", longTimeout)
		require.NoError(t, err)
		require.Equal(t, "during", got)
	})
	for _, mode := range []Mode{ModeBlackHole, ModeReset} {
		t.Run("new connections hang: "+string(mode), func(t *testing.T) {
			r, connect := startRelay(t, shortTimeout)
			require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: mode}))
			_, err := connect()
			require.ErrorContains(t, err, "timeout")
			require.NoError(t, r.SetPartition(Partition{}))
			require.Eventually(t, func() bool {
				conn, err := connect()
				return err == nil && conn.Close() == nil
			}, longTimeout, shortTimeout)
		})
	}
	t.Run("open connections are reset", func(t *testing.T) {
		r, connect := startRelay(t, longTimeout)
		conn := openConnection(t, connect)
		_, err := exchange(t, conn, "before", longTimeout)
		require.NoError(t, err)
		require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: ModeReset}))
		_, err = exchange(t, conn, "", longTimeout)
		require.ErrorContains(t, err, "reset")
	})
	for mode, requestPasses := range map[Mode]bool{ModeInbound: false, ModeOutbound: true} {
		t.Run("one direction is blocked: "+string(mode), func(t *testing.T) {
			r, connect := startRelay(t, longTimeout)
			conn := openConnection(t, connect)
			_, err := exchange(t, conn, "before", longTimeout)
			require.NoError(t, err)
			require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: mode}))
			_, err = exchange(t, conn, "during", shortTimeout)
			require.ErrorContains(t, err, "timeout", "blocking one direction suppresses the response")
			require.Equal(t, requestPasses, !r.network.partition.blocksData("a", "b"))
			require.Equal(t, requestPasses, r.network.partition.blocksData("b", "a"))
			require.NoError(t, r.SetPartition(Partition{}))
			got, err := exchange(t, conn, "", longTimeout)
			require.NoError(t, err)
			require.Equal(t, "during", got)
		})
	}
	t.Run("data is delayed", func(t *testing.T) {
		r, connect := startRelay(t, longTimeout)
		require.NoError(t, r.SetPartition(Partition{AvailabilityZones: []string{"b"}, Mode: ModeDelay, DelayMs: 60}))
		startedAt := time.Now()
		got, err := exchange(t, openConnection(t, connect), "late", longTimeout)
		require.NoError(t, err)
		require.Equal(t, "late", got)
		require.GreaterOrEqual(t, time.Since(startedAt), 120*time.Millisecond, "one delay in each direction")
	})
	t.Run("a half-close is forwarded", func(t *testing.T) {
		_, connect := startRelay(t, longTimeout)
		conn := openConnection(t, connect).(*net.TCPConn)
		_, err := exchange(t, conn, "last", longTimeout)
		require.NoError(t, err)
		require.NoError(t, conn.CloseWrite())
		_, err = exchange(t, conn, "", longTimeout)
		require.ErrorIs(t, err, io.EOF)
	})
}
