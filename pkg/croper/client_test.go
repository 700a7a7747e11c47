package croper_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
	"cardamomring.dev/pkg/croper"
)

// newInstance starts a control instance that records the ID of each change in
// ids. answer returns the result of the nth change. If drop is true, the instance
// closes the connection without a response.
func newInstance(t *testing.T, ids *[]string, answer func(n int) (drop bool, result crwire.Result)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var change crwire.Change
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			t.Error(err)
		}
		*ids = append(*ids, change.ID)
		drop, result := answer(len(*ids))
		if drop {
			panic(http.ErrAbortHandler)
		}
		if err := json.NewEncoder(w).Encode(result); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newClient returns an open client for the instances at addrs.
func newClient(t *testing.T, addrs ...string) *croper.Client {
	t.Helper()
	c := &croper.Client{Control: addrs}
	c.Open()
	t.Cleanup(c.Close)
	return c
}

func TestLostResponseIsRetriedWithSameID(t *testing.T) {
	var ids []string
	addr := newInstance(t, &ids, func(n int) (bool, crwire.Result) {
		return n < 3, crwire.Result{Version: 7}
	})
	result, err := newClient(t, addr).Apply(t.Context(), &crdoc.Service{Name: "s"})
	if err != nil || result.Version != 7 {
		t.Errorf("result is %+v, error %v; want version 7 and no error", result, err)
	}
	if len(ids) != 3 || ids[0] != ids[1] || ids[1] != ids[2] {
		t.Errorf("IDs are %q, want 3 equal ones", ids)
	}
}

func TestClientFollowsTheLeader(t *testing.T) {
	var followerIDs, leaderIDs []string
	leader := newInstance(t, &leaderIDs, func(int) (bool, crwire.Result) { return false, crwire.Result{Version: 1} })
	follower := newInstance(t, &followerIDs, func(int) (bool, crwire.Result) {
		return false, crwire.Result{Code: crwire.CodeUnavailable, Leader: leader}
	})
	c := newClient(t, follower)
	c.Pause = func(context.Context, time.Duration) {
		t.Error("the client waits before it calls the leader that was named")
	}
	if _, err := c.Apply(t.Context(), &crdoc.Service{Name: "s"}); err != nil {
		t.Error(err)
	}
	if len(followerIDs) != 1 || len(leaderIDs) != 1 {
		t.Errorf("%d calls to the follower, %d to the leader, want 1 each", len(followerIDs), len(leaderIDs))
	}
}

// TestDisagreeingInstances checks that instances that name each other as the
// leader are called once in a round, and that the client waits after the round.
func TestDisagreeingInstances(t *testing.T) {
	var firstIDs, secondIDs []string
	addrs := make([]string, 2)
	addrs[0] = newInstance(t, &firstIDs, func(int) (bool, crwire.Result) {
		return false, crwire.Result{Code: crwire.CodeUnavailable, Leader: addrs[1]}
	})
	addrs[1] = newInstance(t, &secondIDs, func(n int) (bool, crwire.Result) {
		if n == 2 {
			return false, crwire.Result{Version: 1}
		}
		return false, crwire.Result{Code: crwire.CodeUnavailable, Leader: addrs[0]}
	})
	c := newClient(t, addrs[0])
	var calls []int
	c.Pause = func(context.Context, time.Duration) { calls = append(calls, len(firstIDs), len(secondIDs)) }
	if _, err := c.Apply(t.Context(), &crdoc.Service{Name: "s"}); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]int{1, 1}, calls); diff != "" {
		t.Errorf("calls to both instances before each wait (-want +got):\n%s", diff)
	}
}

func TestRefusalErrors(t *testing.T) {
	var ids []string
	results := []crwire.Result{
		{Code: crwire.CodeConflict, Version: 3, Winner: "ann", Text: "version 3 by ann is in force"},
		{Code: crwire.CodeInvalid, Findings: []crdoc.Finding{{Place: "address", Text: "is taken"}}},
		{Code: crwire.CodeDenied, Text: "no token"},
	}
	addr := newInstance(t, &ids, func(n int) (bool, crwire.Result) { return false, results[n-1] })
	c := newClient(t, addr)
	var got []string
	for range results {
		_, err := c.Apply(t.Context(), &crdoc.Service{Name: "s"})
		got = append(got, err.Error())
	}
	want := []string{"s: conflict: version 3 by ann is in force", "s: address: is taken", "denied: no token"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("errors (-want +got):\n%s", diff)
	}
}

func TestNoQuorumIsErrUnreachable(t *testing.T) {
	var ids []string
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	addr := newInstance(t, &ids, func(n int) (bool, crwire.Result) {
		if n == 3 {
			cancel()
		}
		return false, crwire.Result{Code: crwire.CodeUnavailable}
	})
	if _, err := newClient(t, addr).SetZoneOut(ctx, "z", true); !errors.Is(err, croper.ErrUnreachable) {
		t.Errorf("error is %v, want ErrUnreachable", err)
	}
}

// TestZoneOrderNamesItsVersion checks that an order about a zone is sent again with the
// version that control names, under a new ID each time, and that it ends in a conflict
// when other orders always come first.
func TestZoneOrderNamesItsVersion(t *testing.T) {
	for _, c := range []struct {
		// conflicts is how many orders are refused.
		conflicts int
		want      []string
	}{
		{1, []string{"none", "4"}},
		{3, []string{"none", "4", "5", "6"}},
		{100, []string{"none", "4", "5", "6", "conflict"}},
	} {
		var got []string
		ids := map[string]bool{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var change crwire.Change
			if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
				t.Error(err)
			}
			base := "none"
			if change.Base != nil {
				base = fmt.Sprint(*change.Base)
			}
			got = append(got, base)
			ids[change.ID] = true
			result := crwire.Result{Version: uint64(3 + len(got))}
			if len(got) <= c.conflicts {
				result.Code = crwire.CodeConflict
			}
			if err := json.NewEncoder(w).Encode(result); err != nil {
				t.Error(err)
			}
		}))
		_, err := newClient(t, server.Listener.Addr().String()).SetZoneOut(t.Context(), "z", true)
		calls := len(got)
		var conflict *croper.ConflictError
		if errors.As(err, &conflict) {
			got = append(got, "conflict")
		}
		if diff := cmp.Diff(c.want, got); diff != "" || len(ids) != calls {
			t.Errorf("%d conflicts: versions sent under %d IDs (-want +got):\n%s", c.conflicts, len(ids), diff)
		}
		server.Close()
	}
}
