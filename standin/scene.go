package standin

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/revision"
	"coltsfootlink/supervisor"
)

// Scene describes the stand-ins of one fleet: its platform, instance list and targets.
type Scene struct {
	// Platform is the host and port on which the platform listens.
	Platform string `toml:"platform"`
	// Retention is the number of records that each partition of the log keeps; all if zero.
	Retention int `toml:"retention"`
	// AppendsPerSecond limits the rate of appends to the log; unlimited if zero.
	AppendsPerSecond float64 `toml:"appends-per-second"`
	// Fleet is the document of the initial configuration; none is published if empty.
	Fleet     string          `toml:"fleet"`
	Instances []SceneInstance `toml:"instance"`
	Targets   []SceneTarget   `toml:"target"`
}

// SceneInstance is one entry of the instance list.
type SceneInstance struct {
	Name        string `toml:"name"`
	Zone        string `toml:"zone"`
	PeerAddress string `toml:"peer-address"`
	// Via maps a zone to the address by which its instances reach this one; zones without an entry use the peer address.
	Via map[string]string `toml:"via,omitempty"`
}

// SceneTarget describes one target. Its times are in milliseconds; the fields are explained at Target.
type SceneTarget struct {
	Name    string `toml:"name"`
	Pool    string `toml:"pool"`
	Kind    string `toml:"kind"`
	Zone    string `toml:"zone"`
	Address string `toml:"address"`
	// Via maps a zone to the address by which its instances reach the target; zones without an entry use Address.
	Via     map[string]string `toml:"via,omitempty"`
	Version string            `toml:"version"`
	// Unreported makes the target answer requests for its load report with status 404.
	Unreported           bool    `toml:"unreported,omitempty"`
	Cold                 float64 `toml:"cold"`
	Warm                 float64 `toml:"warm"`
	WarmUpMillis         int     `toml:"warm-up-millis"`
	TokensPerSecond      float64 `toml:"tokens-per-second"`
	FirstTokenMillis     int     `toml:"first-token-millis"`
	ColdFirstTokenMillis int     `toml:"cold-first-token-millis"`
}

// ParseScene parses a TOML document that describes a scene; unknown fields are an error.
func ParseScene(text string) (Scene, error) {
	var scene Scene
	err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&scene)
	return scene, errors.Wrap(err, "standin: parse the scene")
}

// Run runs the stand-ins below a supervisor until the context ends.
func (scene Scene) Run(ctx context.Context, logger zerolog.Logger) error {
	tree := supervisor.New("stand-ins", logger)
	store := NewStore(scene.Retention)
	store.AppendsPerSecond = scene.AppendsPerSecond
	registrar := &registrar{store: store, scene: scene}
	tree.Add("store", store)
	tree.Add("list", registrar)
	tree.Add("platform", &Platform{Address: scene.Platform, Store: store, View: registrar.View, OnListChange: registrar.Register})
	for _, target := range scene.Targets {
		tree.Add(target.Name, target.Target())
	}
	if scene.Fleet != "" {
		tree.Add("fleet", &publisher{store: store, document: scene.Fleet})
	}
	return tree.Run(ctx)
}

// Target returns the target that the scene describes.
func (target SceneTarget) Target() *Target {
	return &Target{
		Name:            target.Name,
		Address:         target.Address,
		Kind:            coltsfootlink.PoolKind(target.Kind),
		Unreported:      target.Unreported,
		Cold:            target.Cold,
		Warm:            target.Warm,
		WarmUp:          millis(target.WarmUpMillis),
		TokensPerSecond: target.TokensPerSecond,
		FirstToken:      millis(target.FirstTokenMillis),
		ColdFirstToken:  millis(target.ColdFirstTokenMillis),
	}
}

// publisher appends the initial configuration to the log.
type publisher struct {
	store    *Store
	document string
}

// Run publishes the configuration, then waits until the context ends.
func (publisher *publisher) Run(ctx context.Context) error {
	record := revision.Record{ID: "first", Author: "the scene", Kind: revision.Apply, Document: publisher.document}
	body, err := record.Encode()
	if err != nil {
		return err
	}
	if _, err := publisher.store.Append(ctx, coltsfootlink.ConfigurationStream, body); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }
