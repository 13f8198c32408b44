package engine

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"coltsfootlink"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	rates = Rates{PromptTokensPerMilli: 100, StepMillis: 4, StepMillisPerRequest: 0.1, ChunkTokens: 1000, FirstEventMillis: 30}
)

// prompt returns work whose prompt has a prefix of shared tokens, the same for all keys equal modulo 3, and own tokens
// after it.
func prompt(shared, own int, key uint64) coltsfootlink.Work {
	return coltsfootlink.Work{
		Prompt:       []coltsfootlink.CachePart{{Key: 1000 + key%3, Tokens: shared}, {Key: key, Tokens: own}},
		PromptTokens: shared + own,
		OutputTokens: 300,
	}
}

func TestCache(t *testing.T) {
	part := func(key uint64) coltsfootlink.CachePart { return coltsfootlink.CachePart{Key: key, Tokens: 100} }
	work := func(keys ...uint64) coltsfootlink.Work {
		var made coltsfootlink.Work
		for _, key := range keys {
			made.Prompt = append(made.Prompt, part(key))
		}
		return made
	}
	cases := map[string]struct {
		read      []coltsfootlink.Work
		requested coltsfootlink.Work
		cached    int
	}{
		"empty cache":                                {nil, work(1, 2), 0},
		"whole prompt was read":                      {[]coltsfootlink.Work{work(1, 2)}, work(1, 2), 200},
		"only the first part was read":               {[]coltsfootlink.Work{work(1, 2)}, work(1, 3), 100},
		"only a later part was read, not the prefix": {[]coltsfootlink.Work{work(2)}, work(1, 2), 0},
		"least recently used part is evicted":        {[]coltsfootlink.Work{work(1), work(2), work(3), work(4)}, work(1), 0},
		"part used again is not evicted":             {[]coltsfootlink.Work{work(1), work(2), work(1), work(3), work(4)}, work(1), 100},
		"part read repeatedly uses memory once":      {[]coltsfootlink.Work{work(1), work(1), work(1), work(2), work(3)}, work(1), 100},
	}
	for name, test := range cases {
		Convey(name, t, func() {
			cache := NewCache()
			for index, read := range test.read {
				cache = cache.WithPrompt(start.Add(time.Duration(index)*time.Second), read, 300)
			}
			So(cache.CachedTokens(test.requested), ShouldEqual, test.cached)
		})
	}
}

func TestReadMillis(t *testing.T) {
	cases := map[string]struct {
		cached, fresh, running int
		millis                 float64
	}{
		"nothing to read":          {100, 0, 0, 0},
		"one chunk":                {0, 1000, 0, 14},
		"while other requests run": {0, 1000, 10, 15},
		"several chunks":           {0, 2500, 0, 37},
	}
	for name, test := range cases {
		Convey(name+" "+strconv.Itoa(test.fresh), t, func() {
			So(rates.ReadMillis(test.cached, test.fresh, test.running), ShouldAlmostEqual, test.millis, 1e-9)
		})
	}
}
