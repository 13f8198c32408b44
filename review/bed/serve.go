package bed

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
)

// Serving is the server side of a case: it runs in the process of a server.
type Serving struct {
	// Name is the identifier of the server.
	Name string
	// Run runs a request that is meant for this server; headers that every answer has are set already.
	Run func(writer http.ResponseWriter, request *http.Request)
	// Told is called with each line that the case writes to the server; it may be nil.
	Told func(line string)

	// slots holds one element for each request that runs.
	slots chan struct{}
}

var printing sync.Mutex

// Say writes a line about a request for the case's record.
func Say(format string, values ...any) {
	printing.Lock()
	defer printing.Unlock()
	fmt.Printf(format+"\n", values...)
}

// Serve serves requests until the process ends. The arguments are the name of the server, its address and the number of requests
// that it runs at a time; further ones wait.
func (serving Serving) Serve(arguments []string) {
	slots, err := strconv.Atoi(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	serving.slots = make(chan struct{}, slots)
	listener, err := net.Listen("tcp4", arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	Say("listening")
	go serving.listen()
	_ = http.Serve(listener, http.HandlerFunc(serving.handle))
}

// listen passes on what the case writes, and ends the process with the case.
func (serving Serving) listen() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if serving.Told != nil {
			serving.Told(lines.Text())
		}
	}
	os.Exit(0)
}

func (serving Serving) handle(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if request.URL.Path == "/health" {
		header.Set("Instance-Id", serving.Name)
		return
	}
	if request.URL.Path == "/api/report" {
		header.Set("Content-Type", "application/json")
		_, _ = fmt.Fprint(writer, `{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting_requests":0,"running_requests":0,"kv_used":0,"kv_total":476534,"handles":0}`)
		return
	}
	id := request.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", id)
	header.Set("Instance-Id", serving.Name)
	if request.Header.Get("Expect-Instance") != serving.Name {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	serving.slots <- struct{}{}
	defer func() { <-serving.slots }()
	header.Set("Answer-Stamp", "stamp."+serving.Name+"."+id)
	Say("run %s %s %s tenant=%q key=%q", id, request.Method, request.URL.Path, request.Header.Get("Tenant"), strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer "))
	serving.Run(writer, request)
}
