package bed

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client sends requests over kept connections of its own.
type Client struct {
	bed       *Bed
	transport *http.Transport
}

// Request is one attempt of a client.
type Request struct {
	Method, Path, ID, Key, Body string
	// Headers are further headers.
	Headers map[string]string
	// Patience is how long the client waits.
	Patience time.Duration
}

// Answer is what a client got; the status is zero if there was no answer, and the error is set if there was none or it was
// not complete.
type Answer struct {
	SentAt, EndedAt time.Time
	Status          int
	Header          http.Header
	Body            string
	Err             error
}

// NewClient returns a client.
func (bed *Bed) NewClient() *Client {
	return &Client{bed: bed, transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}
}

// Send sends a request to a daemon and notes it and its answer in the record.
func (client *Client) Send(gateway *Gateway, request Request) Answer {
	outgoing, err := http.NewRequest(request.Method, "http://"+gateway.Callers+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Answer{Err: err}
	}
	outgoing.Host = "records.example"
	outgoing.Header.Set("Attempt-Id", request.ID)
	outgoing.Header.Set("Time-Left-Ms", strconv.FormatInt(request.Patience.Milliseconds(), 10))
	if request.Key != "" {
		outgoing.Header.Set("Authorization", "Bearer "+request.Key)
	}
	for name, value := range request.Headers {
		outgoing.Header.Set(name, value)
	}
	client.bed.Note("client sent %s %s %s key=%q to %s", request.ID, request.Method, request.Path, request.Key, gateway.Name)
	answer := Answer{SentAt: time.Now()}
	timer := time.AfterFunc(request.Patience+time.Second, client.transport.CloseIdleConnections)
	defer timer.Stop()
	response, err := (&http.Client{Transport: client.transport, Timeout: request.Patience + 500*time.Millisecond}).Do(outgoing)
	if err != nil {
		answer.Err = err
	} else {
		answer.Status, answer.Header = response.StatusCode, response.Header
		var body []byte
		body, answer.Err = io.ReadAll(response.Body)
		answer.Body = string(body)
		_ = response.Body.Close()
	}
	answer.EndedAt = time.Now()
	client.bed.Note("client answered %s status=%d bytes=%d stamp=%q error=%v", request.ID, answer.Status, len(answer.Body), answer.Header.Get("Answer-Stamp"), answer.Err)
	return answer
}
