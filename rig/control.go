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

// Figures are what an instance says of itself.
type Figures struct {
	BytesSent     int64            `json:"control-bytes-sent"`
	BytesReceived int64            `json:"control-bytes-received"`
	BatchesSent   int64            `json:"control-batches-sent"`
	Counts        map[string]int64 `json:"counts"`
	// KindBytes is the bytes sent of each kind of message.
	KindBytes map[string]int64 `json:"control-bytes-by-kind"`
}

// Answer is what the operators' client printed.
type Answer struct {
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
	Revision uint64     `json:"revision"`
	Missing  []string   `json:"missing"`
}

// Stats returns what every target has seen; targets that are down are left out.
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

// Target returns the address of a target.
func (fleet *Fleet) Target(name string) string {
	for _, target := range fleet.scene.Targets {
		if target.Name == name {
			return target.Address
		}
	}
	return ""
}

// Figures returns what an instance says of itself.
func (fleet *Fleet) Figures(ctx context.Context, instance *Instance) (Figures, error) {
	var figures Figures
	err := fleet.get(ctx, "http://"+instance.Operators+"/debug/vars", OperatorToken, &figures)
	return figures, err
}

// Fault makes a target misbehave.
func (fleet *Fleet) Fault(ctx context.Context, target string, fault standin.Fault) error {
	return fleet.post(ctx, "http://"+fleet.Target(target)+standin.FaultPath, fault)
}

// Outage makes the platform misbehave.
func (fleet *Fleet) Outage(ctx context.Context, outage standin.Outage) error {
	return fleet.post(ctx, "http://"+fleet.Platform+standin.OutagePath, outage)
}

// ChangeList changes the instance list.
func (fleet *Fleet) ChangeList(ctx context.Context, change standin.ListChange) error {
	return fleet.post(ctx, "http://"+fleet.Platform+standin.ListPath, change)
}

// Operate runs a statement with the operators' client; the error holds what it printed.
func (fleet *Fleet) Operate(ctx context.Context, instance *Instance, statement string) (Answer, error) {
	return fleet.OperateAs(ctx, OperatorToken, instance, statement)
}

// OperateAs runs a statement with a token.
func (fleet *Fleet) OperateAs(ctx context.Context, token string, instance *Instance, statement string) (Answer, error) {
	command := exec.CommandContext(ctx, fleet.Plan.Programs.Client,
		"--address", "http://"+instance.Operators, "--token", token, "--json", statement)
	var out, mistakes bytes.Buffer
	command.Stdout = &out
	command.Stderr = &mistakes
	if err := command.Run(); err != nil {
		return Answer{}, errors.Wrap(err, mistakes.String())
	}
	var answer Answer
	err := json.Unmarshal(out.Bytes(), &answer)
	return answer, errors.Wrap(err, "rig")
}

func (fleet *Fleet) get(ctx context.Context, url, token string, document any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := fleet.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("rig: status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(document), "rig")
}

func (fleet *Fleet) post(ctx context.Context, url string, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	response, err := fleet.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("rig: status %d", response.StatusCode)
	}
	return nil
}
