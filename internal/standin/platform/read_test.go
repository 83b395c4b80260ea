package platform

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReads(t *testing.T) {
	b := newBench(t, nil)
	b.mustPut("catalogue", "one")
	b.mustPut("other", "two")
	tests := []struct {
		desc   string
		target string
		want   reply
	}{
		{desc: "present", target: "/v1/keys/catalogue", want: reply{status: 200, value: "one", revision: 2, keyRevision: 1}},
		{desc: "absent", target: "/v1/keys/none", want: reply{status: 404, revision: 2}},
		{desc: "watch of an older revision", target: "/v1/keys/catalogue?after=0&waitMs=1000", want: reply{status: 200, value: "one", revision: 2, keyRevision: 1}},
		{desc: "after is no number", target: "/v1/keys/catalogue?after=x&waitMs=1", want: reply{status: 400}},
		{desc: "waitMs missing", target: "/v1/keys/catalogue?after=1", want: reply{status: 400}},
		{desc: "waitMs too long", target: "/v1/keys/catalogue?after=1&waitMs=300001", want: reply{status: 400}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			got := b.get(t.Context(), test.target)
			got.after = 0
			require.Equal(t, test.want, got)
		})
	}
}

func TestValuesUpToOneMebibyte(t *testing.T) {
	b := newBench(t, nil)
	b.mustPut("catalogue", largeValue(MaxValueBytes))
	require.Equal(t, http.StatusRequestEntityTooLarge,
		b.admin(http.MethodPut, "/admin/keys/catalogue", largeValue(MaxValueBytes+1)))
	got := b.read("catalogue")
	require.Len(t, got.value, MaxValueBytes)
	require.EqualValues(t, 1, got.revision)
}

func TestWatch(t *testing.T) {
	tests := []struct {
		desc string
		act  func(b *bench)
		want reply
	}{
		{
			desc: "nothing changes",
			act:  func(*bench) {},
			want: reply{status: 304, revision: 1, keyRevision: 1, after: 5 * time.Second},
		},
		{
			desc: "key changes",
			act:  func(b *bench) { b.mustPut("catalogue", "two") },
			want: reply{status: 200, value: "two", revision: 2, keyRevision: 2, after: 1500 * time.Millisecond},
		},
		{
			desc: "another key changes",
			act:  func(b *bench) { b.mustPut("other", "two") },
			want: reply{status: 304, revision: 2, keyRevision: 1, after: 5 * time.Second},
		},
		{
			desc: "platform goes down",
			act:  func(b *bench) { b.mustSetMode(`{"mode":"down"}`) },
			want: reply{status: 503, after: 1500 * time.Millisecond},
		},
		{
			desc: "platform closes connections",
			act:  func(b *bench) { b.mustSetMode(`{"mode":"down","close":true}`) },
			want: reply{aborted: true, after: 1500 * time.Millisecond},
		},
		{
			desc: "platform goes stale and a write stays hidden",
			act: func(b *bench) {
				b.mustSetMode(`{"mode":"stale"}`)
				b.mustPut("catalogue", "two")
			},
			want: reply{status: 304, revision: 1, keyRevision: 1, after: 5 * time.Second},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, nil)
				b.mustPut("catalogue", "one")
				answer := b.watch(t.Context(), "catalogue", 1, 5*time.Second)
				time.Sleep(1500 * time.Millisecond)
				test.act(b)
				require.Equal(t, test.want, <-answer)
				require.Zero(t, b.Counters().Watches)
			})
		})
	}
}

func TestWatchWhoseKeyChangesAtItsVeryEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(s *Settings) { s.History = 1 })
		for revision := uint64(1); revision < 300; revision++ {
			b.mustPut("catalogue", "x")
			answer := b.watch(t.Context(), "catalogue", revision, time.Second)
			time.Sleep(time.Second)
			b.mustPut("catalogue", "x")
			revision++
			got := <-answer
			want := reply{status: 200, value: "x", revision: revision, keyRevision: revision, after: time.Second}
			if got.status == 304 {
				want = reply{status: 304, revision: revision - 1, keyRevision: revision - 1, after: time.Second}
			}
			require.Equal(t, want, got)
		}
	})
}

func TestWatchOfAnAbsentKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		missed := b.watch(t.Context(), "catalogue", 0, time.Second)
		require.Equal(t, reply{status: 404, after: time.Second}, <-missed)
		met := b.watch(t.Context(), "catalogue", 0, 2*time.Second)
		time.Sleep(time.Second)
		b.mustPut("catalogue", "one")
		require.Equal(t, reply{status: 200, value: "one", revision: 1, keyRevision: 1, after: time.Second}, <-met)
	})
}

func TestWatchOfAReaderThatGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		answer := b.watch(ctx, "catalogue", 0, time.Minute)
		time.Sleep(time.Second / 2)
		require.Equal(t, 1, b.Counters().Watches)
		cancel()
		require.Equal(t, reply{aborted: true, after: time.Second / 2}, <-answer)
		require.Zero(t, b.Counters().Watches)
	})
}

func TestInitialKeysComeFromFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "catalogue.json")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	b := newBench(t, func(s *Settings) {
		s.FirstRevision = 7
		s.VMListLagMs = 60000
	})
	require.NoError(t, b.LoadKeys([]KeyFile{{Key: "catalogue", File: file}, {Key: VMListKey, File: file}}))
	require.EqualValues(t, 7, b.read("catalogue").keyRevision)
	require.EqualValues(t, 8, b.read(VMListKey).keyRevision)
	require.ErrorIs(t, b.LoadKeys([]KeyFile{{Key: "x", File: file + ".none"}}), os.ErrNotExist)
}

func TestServeEndsWaitingWatchesAtTheStop(t *testing.T) {
	b := newBench(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, l, b.Handler()) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answered := make(chan error, 1)
	go func() {
		response, err := client.Get("http://" + l.Addr().String() + "/v1/keys/x?after=0&waitMs=300000")
		if err == nil {
			_ = response.Body.Close()
		}
		answered <- err
	}()
	for b.Counters().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	require.Error(t, <-answered)
	require.NoError(t, <-ended)
}
