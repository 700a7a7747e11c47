package crbalancer_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomring.dev/internal/crbalancer"
	"cardamomring.dev/internal/crfake"
	"cardamomring.dev/pkg/crdoc"
)

// explain returns the status of a question and its answer or error.
func explain(t *testing.T, b *crbalancer.Balancer, query string) (int, string, crbalancer.Explanation) {
	t.Helper()
	w := httptest.NewRecorder()
	b.HandleExplain(w, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
	var e crbalancer.Explanation
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		return w.Code, "", e
	}
	return w.Code, strings.TrimSpace(w.Body.String()), e
}

// TestExplainRequest checks class, chain and agents of a request while a zone is out of
// service, and the errors.
func TestExplainRequest(t *testing.T) {
	c := newCluster(t, &crfake.Fabric{Seed: 11})
	c.startBalancer("balancer-1", loopback)
	for i, zone := range zones {
		c.startAgent("agent-"+zone, zone, i+1)
	}
	b := c.nodes["balancer-1"].balancer
	c.setZonesOut(zones[2])
	var e crbalancer.Explanation
	c.eventually("the explanation is fresh and has the zone out", func() bool {
		_, _, e = explain(t, b, "host="+serviceName+":443&path=/bands/7&caller=100.64.0.1:9")
		return e.Fresh && len(e.Agents) == 3 && e.Agents[2].ZoneOut
	})
	want := []crbalancer.AgentOutlook{
		{Name: "agent-neng-a", Zone: "neng-a", Odds: 0.5}, {Name: "agent-neng-b", Zone: "neng-b", Odds: 0.5}, {Name: "agent-neng-c", Zone: "neng-c", ZoneOut: true},
	}
	if diff := cmp.Diff(want, e.Agents); diff != "" {
		t.Errorf("agents (-want +got):\n%s", diff)
	}
	accepting := map[string]bool{}
	for _, l := range e.Chain {
		accepting[l.Name] = l.Accepts
	}
	if diff := cmp.Diff(map[string]bool{"agent-neng-a": true, "agent-neng-b": true}, accepting); diff != "" {
		t.Errorf("chain (-want +got):\n%s", diff)
	}
	class := c.document(1).Classes[0]
	if diff := cmp.Diff(&class, e.Class); diff != "" || e.Age == nil || e.Age.D() > time.Minute {
		t.Errorf("age %v, class (-want +got):\n%s", e.Age, diff)
	}
}

// TestExplainRequestErrors checks the answers to questions that can't be explained.
func TestExplainRequestErrors(t *testing.T) {
	type answer struct {
		Status int
		Text   string
	}
	ask := func(b *crbalancer.Balancer, query string) answer {
		status, text, _ := explain(t, b, query)
		return answer{status, text}
	}
	c := newCluster(t, &crfake.Fabric{Seed: 11})
	c.startBalancer("balancer-1", loopback)
	b := c.nodes["balancer-1"].balancer
	_, _, e := explain(t, b, "host="+serviceName)
	got := []answer{ask(&crbalancer.Balancer{Settings: &crdoc.Settings{}}, "host=x"), ask(b, "host=x"), ask(b, "host="+serviceName+"&caller=9")}
	want := []answer{
		{http.StatusServiceUnavailable, "not ready: no view yet"},
		{http.StatusNotFound, `no service has the host "x" in revision 1`},
		{http.StatusBadRequest, `caller "9": want IP:PORT`},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]crbalancer.ChainLink{}, e.Chain); diff != "" {
		t.Errorf("chain without agents (-want +got):\n%s", diff)
	}
}
