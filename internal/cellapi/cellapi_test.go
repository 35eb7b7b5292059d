package cellapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

var table = &view.Table{
	Revision: 9,
	Members:  []view.Member{{Name: "a", Incarnation: "1", Addr: "a"}, {Name: "b", Incarnation: "2", Addr: "b"}},
	Partitions: []view.Partition{
		{ID: 0, Incarnation: "1"}, {ID: 1, Incarnation: "2"}, {ID: 2, Incarnation: "dead"}, {ID: 3, Incarnation: "1"},
	},
}

func newAPI() *http.ServeMux {
	a := peer.NewMux()
	peer.Handle(a, peer.KindMembers, func(context.Context, MembersRequest) (MembersReply, error) {
		return MembersReply{Table: table, Applied: map[string]int64{"a": 4}}, nil
	})
	peer.Handle(a, peer.KindWorkers, func(context.Context, taskmsg.WorkersRequest) (taskmsg.WorkersReply, error) {
		return taskmsg.WorkersReply{Workers: []taskmsg.WorkerState{{Name: "w2"}, {Name: "w1"}}}, nil
	})
	mux := http.NewServeMux()
	API{
		View: func() *view.Table { return table }, Peers: peer.Local{"a": a},
		Placers: func() []string { return []string{"b", "a"} }, // b does not reply
	}.Register(mux)
	return mux
}

func get(t *testing.T, path string, into any) {
	t.Helper()
	w := httptest.NewRecorder()
	newAPI().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	is.New(t).NoErr(json.Unmarshal(w.Body.Bytes(), into))
}

func TestMembersFromTheFirstPlacerThatAnswers(t *testing.T) {
	is := is.New(t)
	var got Members
	get(t, "/v1/members", &got)
	is.Equal(got.Unheld, []int{2})
	is.Equal(got.Members[0].Partitions, []int{0, 3})
	is.Equal(got.Members[0].SettingsRevision, int64(4))
	is.Equal(got.Members[1].SettingsRevision, int64(0)) // not reported
}

func TestWorkersNameTheMembersThatDidNotAnswer(t *testing.T) {
	is := is.New(t)
	var got Workers
	get(t, "/v1/workers", &got)
	is.Equal(got.Missing, []string{"b"})
	is.Equal(len(got.Workers), 2)
	is.Equal(got.Workers[0].Name, "w1")
}
