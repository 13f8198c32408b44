package ingress

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootlink"
	"coltsfootlink/dispatch"
)

const (
	// sharePause is how long a caller should stay away whose team asks for far more than its share.
	sharePause = 500 * time.Millisecond
	// defaultBodyBytes bounds a request's body where the configuration does not.
	defaultBodyBytes = 4 << 20
	// preparedBytes is the most memory that is taken for a body before it has come.
	preparedBytes = 64 << 10
)

// admit finds the rule and the team of the request and reads its body; false if it was refused.
func (current *exchange) admit(catalog coltsfootlink.Catalog) bool {
	if !catalog.Known {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.NotReady, "no configuration is known yet").WithRetryAt(current.arrived.Add(unknownPause)))
		return false
	}
	rule, found := catalog.Table.Match(current.head.Host, current.head.Path)
	if !found {
		current.refuse(http.StatusNotFound, coltsfootlink.Refuse(coltsfootlink.UnknownRoute, "no route matches"))
		return false
	}
	current.rule = rule
	if catalog.Table.HasTeams() && !rule.Public {
		team, known := catalog.Table.Team(current.head.Key)
		if !known {
			current.refuse(http.StatusUnauthorized, coltsfootlink.Refuse(coltsfootlink.UnknownTeam, "the key belongs to no team"))
			return false
		}
		current.team = team
	}
	current.pool = rule.Pool(current.head.ID.Draw(""))
	current.deadline = current.arrived.Add(rule.Timeout)
	if left := current.head.Deadline; !left.IsZero() && left.Before(current.deadline) {
		current.deadline = left
	}
	if !current.service.Gate.Takes(current.deadline) {
		current.refuse(http.StatusServiceUnavailable, coltsfootlink.Refuse(coltsfootlink.InstanceStopping, "the instance stops").WithRetryAt(current.arrived.Add(elsewherePause)))
		return false
	}
	most := catalog.Table.Limits.BodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	if !current.isOffered(most) || !current.isTaken(most) {
		return false
	}
	current.rank = catalog.Table.Rank(current.pool, rule, current.team)
	return current.readBody(most)
}

// isOffered says whether the request is to be offered to targets by what its team gets; the body of one that is not
// takes no memory.
func (current *exchange) isOffered(most int64) bool {
	if current.team == "" {
		return true
	}
	var offered bool
	standings := current.service.Gate.Standings()
	current.patience = standings.Patience(current.arrived, current.pool)
	current.standing, offered = standings.Of(current.arrived, current.pool, current.team, rand.Float64(), rand.Float64())
	if offered {
		return true
	}
	current.refuseUnread(most, coltsfootlink.Refuse(coltsfootlink.OverShare, "others of the pool get far less").WithRetryAt(current.arrived.Add(sharePause)))
	return false
}

// isTaken says whether the instance takes the request now; what waits for the processor until its caller leaves helps
// nobody.
func (current *exchange) isTaken(most int64) bool {
	switch {
	case !current.service.Gate.Pressure().Takes(current.standing, rand.Float64()):
		current.refuseUnread(most, coltsfootlink.Refuse(coltsfootlink.InstanceBusy, "the processor is behind").WithRetryAt(current.arrived.Add(elsewherePause)))
		return false
	case current.service.choosing.Load() >= current.mostChoosing():
		// The place itself is taken once the body has come, for a slow one is to hold none.
		current.refuseUnread(most, current.crowded())
		return false
	default:
		return true
	}
}

// shed counts a request that is not offered to targets as asked for by its team.
func (current *exchange) shed() {
	if current.team != "" {
		current.service.Dispatch.Put(coltsfootlink.Delivery{Message: dispatch.Shed{Pool: current.pool, Team: current.team, Work: current.head.Work}})
	}
}

// refuseUnread refuses a request whose body is not needed; it counts as asked for by its team.
func (current *exchange) refuseUnread(most int64, refusal *coltsfootlink.Refusal) {
	current.shed()
	// An answer before the end of the body would reach a caller that still sends it. Whether all of it came does not
	// matter here.
	_, _ = io.Copy(io.Discard, io.LimitReader(current.incoming.Body, most))
	current.refuse(http.StatusServiceUnavailable, refusal)
}

func (current *exchange) readBody(most int64) bool {
	current.held = bodies.Get().(*bytes.Buffer)
	body, err := readWhole(current.held, http.MaxBytesReader(current.writer, current.incoming.Body, most), min(preparedBytes, current.incoming.ContentLength))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		current.refuse(http.StatusRequestEntityTooLarge, coltsfootlink.Refuse(coltsfootlink.BodyTooLarge, "the body is too large"))
		return false
	case err != nil:
		current.refuse(http.StatusBadRequest, coltsfootlink.Refuse(coltsfootlink.BodyIncomplete, "the body did not come whole"))
		return false
	}
	current.body = body
	digest := xxhash.New()
	// Writing to this hash cannot fail.
	_, _ = digest.WriteString(current.incoming.Method + " " + current.incoming.RequestURI + " " + string(current.team) + " ")
	_, _ = digest.Write(body)
	current.fingerprint = digest.Sum64()
	return true
}

// bodies are buffers for the bodies of requests.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBody gives the buffer of the body away; no target gets the request any more.
func (current *exchange) releaseBody() {
	if current.held != nil && current.held.Cap() <= preparedBytes {
		current.held.Reset()
		bodies.Put(current.held)
	}
}

// readWhole reads to the end; length is the expected number of bytes, negative if unknown.
func readWhole(buffer *bytes.Buffer, reader io.Reader, length int64) ([]byte, error) {
	// ReadFrom wants this much room to find the end without growing.
	buffer.Grow(int(max(0, length)) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}
