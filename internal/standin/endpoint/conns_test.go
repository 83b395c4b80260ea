package endpoint

import (
	"context"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilentConnectionsNeverAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) {
			s.Slots = 10
			s.Connections = 2
		}, Options{})
		require.Equal(t, http.StatusOK, b.post("/warm").status) // leaves an idle connection

		// One connection goes silent in use, the other one idle.
		ctx, giveUp := context.WithTimeout(t.Context(), time.Minute)
		defer giveUp()
		inUse := b.begin(b.request(http.MethodPost, "/in-use").WithContext(ctx))
		time.Sleep(500 * time.Millisecond)
		idle, err := b.listener.dial(t.Context(), "", "")
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, 2, b.SilenceConnections())
		require.Zero(t, b.Status().Connections)

		// A new connection works, although both silent ones are still open.
		b.client.CloseIdleConnections()
		fresh := b.post("/fresh")
		require.Equal(t, http.StatusOK, fresh.status)
		require.Equal(t, time.Second, fresh.after)

		// The work ran to its end, and its answer never came.
		require.Equal(t, whole, b.kinds("/in-use"))
		require.ErrorIs(t, (<-inUse).err, context.DeadlineExceeded)

		// The idle one stays open towards its peer beyond every timeout.
		require.NoError(t, idle.SetReadDeadline(time.Now().Add(2*idleTimeout)))
		_, err = idle.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, idle.Close())
	})
}

func TestSilentConnectionHidesThatTheCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil, Options{})
		ctx, giveUp := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer giveUp()
		call := b.begin(b.request(http.MethodPost, "/a").WithContext(ctx))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 1, b.SilenceConnections())
		require.Error(t, (<-call).err)
		time.Sleep(time.Second)
		require.Equal(t, whole, b.kinds("/a"))
	})
}

func TestConnectionsOverTheLimitAreClosedAtAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) { s.Connections = 2 }, Options{})
		var open []interface{ Close() error }
		for range 2 {
			c, err := b.listener.dial(t.Context(), "", "")
			require.NoError(t, err)
			open = append(open, c)
		}
		synctest.Wait()
		require.Equal(t, 2, b.Status().Connections)
		require.Error(t, b.post("/a").err)
		require.EqualValues(t, 1, b.Status().ConnectionsRefused)

		require.NoError(t, open[0].Close())
		synctest.Wait()
		require.Equal(t, http.StatusOK, b.post("/a").status)
		require.NoError(t, open[1].Close())
	})
}

func TestOnlyTheFirstRequestPaysForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) {
			s.ConnectionCostMs = 1.5
			s.ProbeCostMs = 6
		}, Options{})
		require.Equal(t, time.Second+1500*time.Microsecond, b.post("/a").after)
		require.Equal(t, time.Second, b.post("/a").after)
		require.Equal(t, 6*time.Millisecond, b.do(b.request(http.MethodGet, HealthPath)).after)
	})
}
