package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink/rig"
)

// stopCall is one call to a gateway that shuts down.
type stopCall struct {
	id     string
	sentAt time.Time
	status int
	// events is the number of events received, and err the error of a call that ended without a complete answer.
	events int
	err    error
}

// callStream calls a gateway for a stream of that many events, or for a plain answer if there are none.
func (bed *testbed) callStream(client *http.Client, gateway, events int, id string) stopCall {
	path := "/unsafe/a"
	if events > 0 {
		path = fmt.Sprint("/stream/", events)
	}
	result := stopCall{id: id, sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+bed.gateways[gateway].Callers+path, strings.NewReader("plan"))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = "h"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Time-Left-Ms", "12000")
	request.Header.Set("Token-Counts", fmt.Sprintf("10,%d", events))
	request.Header.Set("Authorization", "Bearer key")
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			result.events++
		}
	}
	result.err = lines.Err()
	return result
}

// TestPlannedStopsCutNoRequest stops a gateway while callers go on sending to it until it has ended: each request that a
// target has executed must get its whole answer.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	cases := map[string]struct {
		// events is the number of events of a stream, 20 ms apart; zero for plain requests that must not run twice.
		events int
		// kept indicates that callers keep their connections.
		kept bool
		// accepted indicates that requests that are sent after the stop signal can end in time.
		accepted bool
	}{
		"plain requests on kept connections":         {0, true, true},
		"plain requests on new connections":          {0, false, true},
		"streams of one second":                      {50, true, true},
		"streams of four seconds":                    {200, true, false},
		"streams of four seconds on new connections": {200, false, false},
	}
	for name, test := range cases {
		Convey("requests get whole answers or true refusals up to the end of a planned stop: "+name, t, func() {
			bed := startTestbedWith(t, rig.GatewayFleet{Zones: zones[:2], DrainDelay: 2900 * time.Millisecond})
			var mutex sync.Mutex
			var calls []stopCall
			done := make(chan struct{})
			var group sync.WaitGroup
			for caller := range 6 {
				group.Go(func() {
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !test.kept}}
					for number := 0; ; number++ {
						select {
						case <-done:
							return
						case <-time.After(60 * time.Millisecond):
						}
						group.Go(func() {
							result := bed.callStream(client, 0, test.events, fmt.Sprint("stop-", caller, "-", number))
							mutex.Lock()
							calls = append(calls, result)
							mutex.Unlock()
						})
					}
				})
			}
			// By then some streams have ended, so that it is known how long they take.
			time.Sleep(time.Duration(test.events)*20*time.Millisecond + time.Second)
			stoppedAt := time.Now()
			So(bed.gateways[0].Stop(stoppedAt.Add(10*time.Second)), ShouldBeNil)
			time.Sleep(200 * time.Millisecond)
			close(done)
			group.Wait()
			late, cut := 0, 0
			for _, call := range calls {
				executions := bed.executions(call.id)
				So(executions, ShouldBeLessThanOrEqualTo, 1)
				if call.status == http.StatusServiceUnavailable {
					So(executions, ShouldEqual, 0)
				}
				if executions == 0 {
					continue
				}
				if call.sentAt.After(stoppedAt) {
					late++
				}
				if call.err != nil || call.status != http.StatusOK || call.events < test.events {
					cut++
				}
			}
			So(cut, ShouldEqual, 0)
			So(late > 0, ShouldEqual, test.accepted)
		})
	}
}

// TestRequestsReceivedDuringAStopAreServed guards against a stopping gateway that ends while a request's body is still on its
// way, and gives the request up that it has accepted.
func TestRequestsReceivedDuringAStopAreServed(t *testing.T) {
	// The gateway stops half a second after the signal if it finds nothing to wait for, and at the latest after 5.2 s.
	cases := map[string]time.Duration{
		"the body ends just after the checks": 900 * time.Millisecond,
		"the body ends as the gateway stops":  1100 * time.Millisecond,
		"the body ends a second later":        2 * time.Second,
	}
	for name, bodyAfter := range cases {
		Convey("a request whose head was accepted is served: "+name, t, func() {
			bed := startTestbed(t)
			conn, err := net.Dial("tcp", bed.gateways[0].Callers)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			const head = "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nAttempt-Id: slow-body\r\nTime-Left-Ms: 4000\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\npl"
			_, err = io.WriteString(conn, head)
			So(err, ShouldBeNil)
			time.Sleep(50 * time.Millisecond)
			time.AfterFunc(bodyAfter, func() { _, _ = io.WriteString(conn, "an") })
			stopped := make(chan error, 1)
			go func() { stopped <- bed.gateways[0].Stop(time.Now().Add(10 * time.Second)) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			So(response.StatusCode, ShouldEqual, http.StatusOK)
			So(bed.executions("slow-body"), ShouldEqual, 1)
			So(<-stopped, ShouldBeNil)
		})
	}
}
