package gateway

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"coltsfootlink"
	"coltsfootlink/mailbox"
	"coltsfootlink/settings"
)

// reloadInterval is the interval at which the settings file is read again, as it may change without a SIGHUP.
const reloadInterval = time.Second

// reloader is the task that applies changes of the settings file.
type reloader struct {
	file       string
	current    settings.Gateway
	membership *mailbox.Deliveries
	log        zerolog.Logger

	// size and modifiedAt are those of the file when it was last read.
	size       int64
	modifiedAt time.Time
}

// Run reads the file on SIGHUP and at every reloadInterval until the context ends.
func (reloader *reloader) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			reloader.log.Info().Msg("settings: SIGHUP received, reading the file again")
		case <-ticker.C:
			if !reloader.changed() {
				continue
			}
		}
		reloader.reload()
	}
}

// changed reports whether the file may differ from what was last read, by its size and time.
func (reloader *reloader) changed() bool {
	info, err := os.Stat(reloader.file)
	if err != nil {
		return true
	}
	same := info.Size() == reloader.size && info.ModTime().Equal(reloader.modifiedAt)
	reloader.size, reloader.modifiedAt = info.Size(), info.ModTime()
	return !same
}

// reload applies changes of the file. A file that cannot be read or is invalid changes nothing.
func (reloader *reloader) reload() {
	read, err := settings.ReadGateway(reloader.file)
	if err != nil {
		reloader.log.Error().Err(err).Msg("settings: file not readable or invalid, keeping the previous settings")
		return
	}
	if reflect.DeepEqual(read, reloader.current) {
		return
	}
	reloader.current = read
	reloader.log.Info().Strs("seeds", read.Seeds).Msg("settings: file changed, new seeds apply at once, other changes at the next start")
	reloader.membership.Put(coltsfootlink.Delivery{Message: coltsfootlink.SeedsChanged{Seeds: seedsOf(read)}})
}
