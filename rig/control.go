package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os/exec"

	"github.com/cockroachdb/errors"

	"coltsfootlink/standin"
)

// Metrics holds the metrics that an instance publishes at /debug/vars.
type Metrics struct {
	BytesSent     int64            `json:"control-bytes-sent"`
	BytesReceived int64            `json:"control-bytes-received"`
	BatchesSent   int64            `json:"control-batches-sent"`
	Counts        map[string]int64 `json:"counts"`
	// KindBytes is the number of bytes sent by kind of message.
	KindBytes map[string]int64 `json:"control-bytes-by-kind"`
}

// StatementResult is the result of a statement as the operators' client prints it in JSON.
type StatementResult struct {
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
	Revision uint64     `json:"revision"`
	Missing  []string   `json:"missing"`
}

// Stats returns the counts of every target, except those that can't be reached.
func (fleet *Fleet) Stats(ctx context.Context) []standin.Stats {
	var all []standin.Stats
	for _, target := range fleet.scene.Targets {
		var stats standin.Stats
		if err := fleet.get(ctx, "http://"+target.Address+standin.StatsPath, "", &stats); err == nil {
			all = append(all, stats)
		}
	}
	return all
}

// Target returns the address of a target, or an empty string if there is none of this name.
func (fleet *Fleet) Target(name string) string {
	for _, target := range fleet.scene.Targets {
		if target.Name == name {
			return target.Address
		}
	}
	return ""
}

// Metrics returns the metrics that an instance publishes.
func (fleet *Fleet) Metrics(ctx context.Context, instance *Instance) (Metrics, error) {
	var metrics Metrics
	err := fleet.get(ctx, "http://"+instance.Operators+"/debug/vars", OperatorToken, &metrics)
	return metrics, err
}

// SetFault replaces the faults that a target injects.
func (fleet *Fleet) SetFault(ctx context.Context, target string, fault standin.Fault) error {
	return fleet.post(ctx, "http://"+fleet.Target(target)+standin.FaultPath, fault)
}

// SetOutage replaces the faults that the platform injects.
func (fleet *Fleet) SetOutage(ctx context.Context, outage standin.Outage) error {
	return fleet.post(ctx, "http://"+fleet.Platform+standin.OutagePath, outage)
}

// Restore has the platform's store go away and come back from an earlier copy, and returns once the operator and the targets
// have written again what they have lost.
func (fleet *Fleet) Restore(ctx context.Context, restore standin.Restore) error {
	return fleet.post(ctx, "http://"+fleet.Platform+standin.RestorePath, restore)
}

// ChangeList changes the list of instances and targets. Each change replaces the previous one.
func (fleet *Fleet) ChangeList(ctx context.Context, change standin.ListChange) error {
	return fleet.post(ctx, "http://"+fleet.Platform+standin.ListPath, change)
}

// RunStatement runs a statement with the operators' client and OperatorToken. The error contains what the client
// printed to standard error.
func (fleet *Fleet) RunStatement(ctx context.Context, instance *Instance, statement string) (StatementResult, error) {
	return fleet.RunStatementAs(ctx, OperatorToken, instance, statement)
}

// RunStatementAs runs a statement with the operators' client and the given token.
func (fleet *Fleet) RunStatementAs(ctx context.Context, token string, instance *Instance, statement string) (StatementResult, error) {
	command := exec.CommandContext(ctx, fleet.Plan.Programs.Client,
		"--address", "http://"+instance.Operators, "--token", token, "--json", statement)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	if err := command.Run(); err != nil {
		return StatementResult{}, errors.Wrap(err, stderr.String())
	}
	var result StatementResult
	err := json.Unmarshal(stdout.Bytes(), &result)
	return result, errors.Wrap(err, "rig: decode the output of coltsfootctl")
}

func (fleet *Fleet) get(ctx context.Context, url, token string, document any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "rig: create a GET request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := fleet.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "rig: send a GET request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("rig: GET: got status %d, expected 200", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(document), "rig: decode a document")
}

func (fleet *Fleet) post(ctx context.Context, url string, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return errors.Wrap(err, "rig: encode a document")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "rig: create a POST request")
	}
	response, err := fleet.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "rig: send a POST request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("rig: POST: got status %d, expected 200", response.StatusCode)
	}
	return nil
}
