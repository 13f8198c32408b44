package engine

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// cacheEntry is a cached part of a prompt.
type cacheEntry struct {
	tokens int
	usedAt time.Time
}

// Cache models the prefix cache of an engine, with eviction of the least recently used parts; it is immutable.
type Cache struct {
	entries *immutable.Map[uint64, cacheEntry]
	tokens  int
}

// NewCache returns an empty cache.
func NewCache() Cache { return Cache{entries: immutable.NewMap[uint64, cacheEntry](nil)} }

// CachedTokens returns the number of tokens at the beginning of a prompt that are cached and need not be read.
func (cache Cache) CachedTokens(work coltsfootlink.Work) int {
	tokens := 0
	for _, part := range work.Prompt {
		if _, found := cache.entries.Get(part.Key); !found {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// WithPrompt returns the cache after a prompt has been read, with a capacity in tokens.
func (cache Cache) WithPrompt(now time.Time, work coltsfootlink.Work, capacity int) Cache {
	for _, part := range work.Prompt {
		if entry, found := cache.entries.Get(part.Key); found {
			cache.tokens -= entry.tokens
		}
		cache.entries = cache.entries.Set(part.Key, cacheEntry{tokens: part.Tokens, usedAt: now})
		cache.tokens += part.Tokens
	}
	for cache.tokens > capacity && cache.entries.Len() > 0 {
		cache = cache.withoutOldest()
	}
	return cache
}

func (cache Cache) withoutOldest() Cache {
	var oldestKey uint64
	var oldest cacheEntry
	for iterator := cache.entries.Iterator(); !iterator.Done(); {
		key, entry, _ := iterator.Next()
		if oldest.usedAt.IsZero() || entry.usedAt.Before(oldest.usedAt) {
			oldestKey, oldest = key, entry
		}
	}
	cache.entries = cache.entries.Delete(oldestKey)
	cache.tokens -= oldest.tokens
	return cache
}
