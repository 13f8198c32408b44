package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"coltsfootlink/standin"
)

// Headers between the soak's callers and its targets, which instances forward unchanged.
const (
	// serialHeader identifies a call and is the same in all of its attempts.
	serialHeader = "Soak-Serial"
	// sizeHeader is the size of the answer in bytes, or in events if it is a stream.
	sizeHeader = "Soak-Size"
	// digestHeader is the digest of the parts of the request that have to reach the target unaltered.
	digestHeader = "Soak-Digest"
	// repeatableHeader is present if the request may be executed more than once.
	repeatableHeader = "Soak-Repeatable"
	// streamHeader is present if the answer is a stream of events.
	streamHeader = "Soak-Stream"
)

const (
	// letters are the characters of generated bodies.
	letters = "abcdefghijklmnopqrstuvwxyz0123456789 .,"
	// maxEventBytes is the maximum size of the data of an event.
	maxEventBytes = 200
)

// content returns pseudo-random bytes that depend only on the text and the size.
func content(text string, size int) []byte {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(text), 0))
	filled := make([]byte, size)
	for index := range filled {
		filled[index] = letters[random.IntN(len(letters))]
	}
	return filled
}

// event returns one event of the stream of a call; events are numbered from one.
func event(serial string, number int) []byte {
	name := fmt.Sprint(serial, "/", number)
	size := 1 + int(xxhash.Sum64String(name)%maxEventBytes)
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", number, content(name, size))
}

// events returns the events of a call's stream that follow number after, up to and including number last.
func events(serial string, after, last int) []byte {
	var stream bytes.Buffer
	for number := after + 1; number <= last; number++ {
		stream.Write(event(serial, number))
	}
	return stream.Bytes()
}

// digest returns the SHA-256 digest of a sequence of texts, each preceded by its length.
func digest(texts ...string) string {
	hash := sha256.New()
	for _, text := range texts {
		// Writing to a hash cannot fail.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(text), text)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// answerBody returns the complete body of the answer to a request with the given headers.
func answerBody(header http.Header) []byte {
	serial := header.Get(serialHeader)
	size := number(header.Get(sizeHeader))
	if header.Get(streamHeader) == "" {
		return content(serial, size)
	}
	return events(serial, number(header.Get(standin.LastEventHeader)), size)
}

// number parses the value of a header; it returns zero if the value is not a number.
func number(text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return value
}
