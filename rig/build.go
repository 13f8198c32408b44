package rig

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Programs holds the paths of the built programs.
type Programs struct {
	Daemon  string
	Client  string
	Standin string
}

// Build builds the programs into a folder, with further flags for go build.
func Build(ctx context.Context, folder string, flags ...string) (Programs, error) {
	arguments := append([]string{"build", "-o", folder + string(filepath.Separator)}, flags...)
	arguments = append(arguments, "coltsfootlink/cmd/coltsfootd", "coltsfootlink/cmd/coltsfootctl", "coltsfootlink/cmd/standin")
	build := exec.CommandContext(ctx, "go", arguments...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return Programs{}, errors.Wrap(err, "rig: build the programs")
	}
	return Programs{
		Daemon:  filepath.Join(folder, "coltsfootd"),
		Client:  filepath.Join(folder, "coltsfootctl"),
		Standin: filepath.Join(folder, "standin"),
	}, nil
}
