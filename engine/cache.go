package engine

import (
	"time"

	"github.com/benbjohnson/immutable"

	"coltsfootlink"
)

// kept is a part of a prompt in an engine's memory.
type kept struct {
	tokens int
	usedAt time.Time
}

// Cache is what an engine is believed to keep of prompts; it is immutable.
type Cache struct {
	parts  *immutable.Map[uint64, kept]
	tokens int
}

// NewCache returns the cache of an engine that has just started.
func NewCache() Cache { return Cache{parts: immutable.NewMap[uint64, kept](nil)} }

// Kept returns how many tokens of a prompt need not be read.
func (cache Cache) Kept(work coltsfootlink.Work) int {
	tokens := 0
	for _, part := range work.Prompt {
		if _, found := cache.parts.Get(part.Key); !found {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// WithPrompt returns the cache after a prompt was read into a memory with room for so many tokens.
func (cache Cache) WithPrompt(now time.Time, work coltsfootlink.Work, room int) Cache {
	for _, part := range work.Prompt {
		if known, found := cache.parts.Get(part.Key); found {
			cache.tokens -= known.tokens
		}
		cache.parts = cache.parts.Set(part.Key, kept{tokens: part.Tokens, usedAt: now})
		cache.tokens += part.Tokens
	}
	for cache.tokens > room && cache.parts.Len() > 0 {
		cache = cache.withoutOldest()
	}
	return cache
}

func (cache Cache) withoutOldest() Cache {
	var oldestKey uint64
	var oldest kept
	for iterator := cache.parts.Iterator(); !iterator.Done(); {
		key, part, _ := iterator.Next()
		if oldest.usedAt.IsZero() || part.usedAt.Before(oldest.usedAt) {
			oldestKey, oldest = key, part
		}
	}
	cache.parts = cache.parts.Delete(oldestKey)
	cache.tokens -= oldest.tokens
	return cache
}
