package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/platform"
)

const (
	// copyAge is the age of the copy in the tests' restores. What a case writes right before the restore is lost; what it writes
	// more than a copyAge earlier is kept.
	copyAge = 200 * time.Millisecond
	ownName = "own"
)

// restorable is a platform that runs for a test.
type restorable struct {
	t       *testing.T
	server  *Platform
	address string
}

func startRestorable(t *testing.T) restorable {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	site := restorable{t: t, server: &Platform{Address: address, Store: NewStore(0)}, address: address}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = site.server.Store.Run(ctx) }()
	go func() { _ = site.server.Run(ctx) }()
	for {
		if answer, err := http.Get("http://" + address + "/"); err == nil {
			_ = answer.Body.Close()
			return site
		}
		time.Sleep(time.Millisecond)
	}
}

// call makes a call and returns the status, zero if there is no answer, and the era in the answer.
func (site restorable) call(method, path, query string, body []byte) (int, string, string) {
	request, err := http.NewRequest(method, "http://"+site.address+path+"?"+query, bytes.NewReader(body))
	if err != nil {
		site.t.Error(err)
		return 0, "", ""
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = answer.Body.Close() }()
	content, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header.Get(platform.EraHeader), string(content)
}

func (site restorable) append(topic, query, record string) (int, string) {
	status, _, body := site.call(http.MethodPost, platform.AppendPath, "topic="+topic+"&part=0&"+query, platform.EncodeRecords([][]byte{[]byte(record)}))
	return status, body
}

// records returns the content of a topic.
func (site restorable) records(topic string) []string {
	found, err := site.server.Store.read(context.Background(), partitionName{topic: topic}, 0, time.Now())
	So(err, ShouldBeNil)
	var texts []string
	for _, record := range found.records {
		texts = append(texts, string(record))
	}
	return texts
}

func keyed(key, value string) string { return string(platform.EncodeKeyed(key, []byte(value))) }

// TestRestore guards against a restore that keeps something the platform's store loses, or loses something it keeps.
func TestRestore(t *testing.T) {
	restore := Restore{AgeMillis: int(copyAge.Milliseconds())}
	cases := map[string]struct {
		// before and after are run before and after the time of the copy, and check after the restore.
		before, after, check func(site restorable)
	}{
		"records since the copy are gone and their offsets assigned again": {
			func(site restorable) { site.append(ownName, "", "kept") },
			func(site restorable) { site.append(ownName, "", "lost") },
			func(site restorable) {
				So(site.records(ownName), ShouldResemble, []string{"kept"})
				status, body := site.append(ownName, "at=1", "new")
				So(status, ShouldEqual, http.StatusOK)
				So(body, ShouldStartWith, `{"offset":1,"end":2}`)
			},
		},
		"a read from beyond the end gets 410 with the first offset": {
			func(site restorable) { site.append(ownName, "", "kept") },
			func(site restorable) { site.append(ownName, "", "lost") },
			func(site restorable) {
				status, era, body := site.call(http.MethodGet, platform.ReadPath, "topic=own&part=0&from=2", nil)
				So(status, ShouldEqual, http.StatusGone)
				So(era, ShouldEqual, "2")
				So(body, ShouldStartWith, `{"first":0}`)
				status, _, _ = site.call(http.MethodGet, platform.ReadPath, "topic=own&part=0&from=1", nil)
				So(status, ShouldEqual, http.StatusOK)
			},
		},
		"a producer's epoch and sequence number go back": {
			func(site restorable) { site.append(ownName, "producer=p&epoch=1&sequence=1", "kept") },
			func(site restorable) {
				site.append(ownName, "producer=p&epoch=1&sequence=2", "lost")
				site.append(ownName, "producer=p&epoch=2&sequence=1", "lost")
			},
			func(site restorable) {
				status, _ := site.append(ownName, "producer=p&epoch=1&sequence=2", "new")
				So(status, ShouldEqual, http.StatusOK)
				So(site.records(ownName), ShouldResemble, []string{"kept", "new"})
			},
		},
		"a group's generation and committed offsets go back": {
			func(site restorable) {
				site.call(http.MethodPost, platform.JoinPath, "", []byte(`{"group":"g","member":"a","topics":["t"],"ttl_ms":60000}`))
			},
			func(site restorable) {
				site.call(http.MethodPost, platform.CommitPath, "", []byte(`{"group":"g","member":"a","generation":1,"topic":"t","part":0,"offset":7}`))
				site.call(http.MethodPost, platform.JoinPath, "", []byte(`{"group":"g","member":"b","topics":["t"],"ttl_ms":60000}`))
			},
			func(site restorable) {
				_, _, body := site.call(http.MethodGet, platform.OwnersPath, "group=g", nil)
				So(body, ShouldStartWith, `{"parts":[["t",0,"a",0],`)
				_, _, body = site.call(http.MethodPost, platform.JoinPath, "", []byte(`{"group":"g","member":"a","topics":["t"],"ttl_ms":60000}`))
				So(body, ShouldStartWith, `{"generation":1,`)
			},
		},
		"trimmed records come back": {
			func(site restorable) { site.append(ownName, "", "kept") },
			func(site restorable) { site.call(http.MethodPost, platform.TrimPath, "topic=own&part=0&before=1", nil) },
			func(site restorable) { So(site.records(ownName), ShouldResemble, []string{"kept"}) },
		},
		"the operator and the targets write again what was lost": {
			func(site restorable) { site.append(platform.OperatorTopic, "", keyed("config", "1")) },
			func(site restorable) {
				site.append(platform.OperatorTopic, "", keyed("config", "2"))
				site.append(platform.OperatorTopic, "", keyed("rollout/p", "x"))
				site.append(platform.TargetTopic, "", keyed("t", "x"))
				site.append(platform.StatusTopic, "", keyed("rollout/p", "running"))
			},
			func(site restorable) {
				So(site.records(platform.OperatorTopic), ShouldResemble, []string{keyed("config", "1"), keyed("config", "2"), keyed("rollout/p", "x")})
				So(site.records(platform.TargetTopic), ShouldResemble, []string{keyed("t", "x")})
				So(site.records(platform.StatusTopic), ShouldBeEmpty)
			},
		},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			site := startRestorable(t)
			test.before(site)
			time.Sleep(2 * copyAge)
			test.after(site)
			So(site.server.Restore(t.Context(), restore), ShouldBeNil)
			test.check(site)
		})
	}
}

// TestEraInAllAnswers guards against answers without the era, or with another one than that of the state they are about.
func TestEraInAllAnswers(t *testing.T) {
	cases := map[string]struct {
		method, path, query string
		body                []byte
		status              int
	}{
		"append":                {http.MethodPost, platform.AppendPath, "topic=t&part=0", nil, http.StatusOK},
		"append, refused":       {http.MethodPost, platform.AppendPath, "topic=t&part=0&at=9", nil, http.StatusPreconditionFailed},
		"append, undecodable":   {http.MethodPost, platform.AppendPath, "topic=t&part=0", []byte("x"), http.StatusBadRequest},
		"read":                  {http.MethodGet, platform.ReadPath, "topic=t&part=0&from=0", nil, http.StatusOK},
		"read beyond the end":   {http.MethodGet, platform.ReadPath, "topic=t&part=0&from=9", nil, http.StatusGone},
		"newest":                {http.MethodGet, platform.NewestPath, "topic=t&part=0", nil, http.StatusOK},
		"newest of a zone":      {http.MethodGet, "/z" + platform.NewestPath, "topic=t&part=0", nil, http.StatusOK},
		"join":                  {http.MethodPost, platform.JoinPath, "", []byte(`{"group":"g","member":"m"}`), http.StatusOK},
		"commit, not the owner": {http.MethodPost, platform.CommitPath, "", []byte(`{"group":"g","member":"m"}`), http.StatusConflict},
		"an unknown path":       {http.MethodGet, "/none", "", nil, http.StatusNotFound},
	}
	site := startRestorable(t)
	for count, era := range []string{"1", "2", "3"} {
		for name, test := range cases {
			Convey(name+" after "+strconv.Itoa(count)+" restores", t, func() {
				status, got, _ := site.call(test.method, test.path, test.query, test.body)
				So(status, ShouldEqual, test.status)
				So(got, ShouldEqual, era)
			})
		}
		Convey("while the store is down, after "+strconv.Itoa(count)+" restores", t, func() {
			site.server.SetOutage(Outage{Down: true})
			status, got, _ := site.call(http.MethodGet, platform.ReadPath, "topic=t&part=0&from=0", nil)
			site.server.SetOutage(Outage{})
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(got, ShouldEqual, era)
			status, _, _ = site.call(http.MethodPost, RestorePath, "", []byte(`{"age-millis":0}`))
			So(status, ShouldEqual, http.StatusOK)
		})
	}
}

// TestCallsDuringARestore guards against a restore in which the store is not away, or in which waiting reads and late appends
// are not treated as on the platform.
func TestCallsDuringARestore(t *testing.T) {
	type answer struct {
		status int
		era    string
	}
	cases := map[string]struct {
		late int
		// call is made while the store is away if away is set, and before otherwise.
		away     bool
		call     func(site restorable) (int, string)
		answered answer
		records  []string
	}{
		"an append while the store is away": {0, true, func(site restorable) (int, string) {
			status, era, _ := site.call(http.MethodPost, platform.AppendPath, "topic=own&part=0", platform.EncodeRecords([][]byte{[]byte("x")}))
			return status, era
		}, answer{http.StatusServiceUnavailable, "1"}, []string{"kept"}},
		"a late append whose condition holds again": {50, true, func(site restorable) (int, string) {
			status, era, _ := site.call(http.MethodPost, platform.AppendPath, "topic=own&part=0&at=1", platform.EncodeRecords([][]byte{[]byte("late")}))
			return status, era
		}, answer{}, []string{"kept", "late"}},
		"a late append whose condition no longer holds": {50, true, func(site restorable) (int, string) {
			status, era, _ := site.call(http.MethodPost, platform.AppendPath, "topic=own&part=0&at=2", platform.EncodeRecords([][]byte{[]byte("late")}))
			return status, era
		}, answer{}, []string{"kept"}},
		"a waiting read from beyond the new end": {0, false, func(site restorable) (int, string) {
			status, era, _ := site.call(http.MethodGet, platform.ReadPath, "topic=own&part=0&from=2&wait_ms=5000", nil)
			return status, era
		}, answer{http.StatusGone, "2"}, []string{"kept"}},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			site := startRestorable(t)
			site.append(ownName, "", "kept")
			time.Sleep(2 * copyAge)
			site.append(ownName, "", "lost")
			answers, restored := make(chan answer, 1), make(chan error, 1)
			begin := func() {
				go func() {
					status, era := test.call(site)
					answers <- answer{status, era}
				}()
				time.Sleep(20 * time.Millisecond)
			}
			if !test.away {
				begin()
			}
			go func() {
				restored <- site.server.Restore(t.Context(), Restore{AgeMillis: int(copyAge.Milliseconds()), AwayMillis: 100, LateMillis: test.late})
			}()
			for site.server.restoring.Load() == nil {
				time.Sleep(time.Millisecond)
			}
			if test.away {
				begin()
			}
			So(<-restored, ShouldBeNil)
			So(<-answers, ShouldResemble, test.answered)
			So(site.records(ownName), ShouldResemble, test.records)
		})
	}
}

// TestRewriteOrder guards against a restore in which an older record of a key replaces a newer one.
func TestRewriteOrder(t *testing.T) {
	var lost []lostRecord
	for number := range 12 {
		lost = append(lost, lostRecord{name: partitionName{topic: platform.TargetTopic}, content: []byte(keyed("t"+strconv.Itoa(number%3), strconv.Itoa(number)))})
	}
	orders := make(map[string]bool)
	for seed := range uint64(8) {
		Convey("seed "+strconv.FormatUint(seed, 10), t, func() {
			text, newest := "", make(map[string]int)
			for _, record := range rewriteOrder(slices.Clone(lost), seed) {
				key, value, err := platform.DecodeKeyed(record.content)
				So(err, ShouldBeNil)
				number, _ := strconv.Atoi(string(value))
				So(number, ShouldBeGreaterThanOrEqualTo, newest[key])
				newest[key] = number
				text += " " + string(value)
			}
			So(newest, ShouldResemble, map[string]int{"t0": 9, "t1": 10, "t2": 11})
			orders[text] = true
		})
	}
	Convey("seeds draw different orders", t, func() { So(len(orders), ShouldBeGreaterThan, 1) })
}
