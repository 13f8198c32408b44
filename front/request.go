package front

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink"
	"coltsfootlink/claim"
	"coltsfootlink/gen/callers"
	"coltsfootlink/web"
)

// request validates a caller's request, reads its body and returns it with its pool, or a refusal.
func (service *Service) request(id coltsfootlink.RequestID, payload *callers.CallPayload, body io.Reader) (coltsfootlink.Request, coltsfootlink.Pool, *coltsfootlink.Refusal) {
	request := coltsfootlink.Request{ID: id}
	configuration, ready := service.Gate.Configuration()
	if !ready {
		refusal := coltsfootlink.Refuse(coltsfootlink.NotReady, "the instance has no configuration yet")
		return request, coltsfootlink.Pool{}, refusal.WithRetryAt(service.Clock.Now().Add(notReadyRetryDelay))
	}
	team, found := configuration.TeamByToken(web.BearerToken(deref(payload.Authorization)))
	if !found {
		return request, coltsfootlink.Pool{}, coltsfootlink.Refuse(coltsfootlink.UnknownTeam, "the token belongs to no team")
	}
	pool, found := configuration.Pools[coltsfootlink.PoolName(payload.Pool)]
	if !found {
		return request, pool, coltsfootlink.Refuse(coltsfootlink.UnknownPool, "there is no pool "+strconv.Quote(payload.Pool))
	}
	route, found := pool.Route(strings.Trim(payload.Route, "/"))
	if !found {
		return request, pool, coltsfootlink.Refuse(coltsfootlink.UnknownRoute, "the pool has no route "+strconv.Quote(payload.Route))
	}
	request.Team = team.Name
	request.Pool = pool.Name
	request.Route = route
	request.ContentType = deref(payload.ContentType)
	if refusal := service.readHeaders(&request, payload); refusal != nil {
		return request, pool, refusal
	}
	content, refusal := service.readBody(body, pool.MaxBodyBytes, request.Deadline)
	if refusal != nil {
		return request, pool, refusal
	}
	return request.WithBody(content, fingerprint(request, content)), pool, nil
}

// readHeaders validates the deadline, the cost hint and the idempotency key and sets them in the request.
func (service *Service) readHeaders(request *coltsfootlink.Request, payload *callers.CallPayload) *coltsfootlink.Refusal {
	now := service.Clock.Now()
	request.Deadline = now.Add(service.RequestTimeout)
	if payload.Deadline != nil {
		deadline, err := time.Parse(time.RFC3339Nano, *payload.Deadline)
		if err != nil {
			return coltsfootlink.Refuse(coltsfootlink.BadDeadline, "the deadline is not an RFC 3339 time")
		}
		if !now.Before(deadline) {
			return coltsfootlink.Refuse(coltsfootlink.PastDeadline, "the deadline has passed")
		}
		request.Deadline = deadline
	}
	if payload.CostHint != nil {
		hint, err := strconv.ParseFloat(*payload.CostHint, 64)
		if err != nil || !(hint >= 0) {
			return coltsfootlink.Refuse(coltsfootlink.BadHint, "the cost hint is not a number of at least zero")
		}
		request.CostHint = hint
	}
	if request.Route.Repeatable {
		return nil
	}
	// Keys are compared as strings, so they are converted to lower case.
	request.IdempotencyKey = strings.ToLower(deref(payload.IdempotencyKey))
	return claim.CheckKey(request.IdempotencyKey, now)
}

// fingerprint returns a hash of the team, pool, route and body, by which requests that crash targets are recognised.
func fingerprint(request coltsfootlink.Request, body []byte) uint64 {
	digest := xxhash.New()
	// Writes to the digest never fail.
	_, _ = digest.WriteString(string(request.Team) + "\n" + string(request.Pool) + "\n" + request.Route.Path + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func deref(value *string) string {
	if value == nil {
		return ""
	}
	return *value
}
