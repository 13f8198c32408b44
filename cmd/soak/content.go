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

// Headers between the soak's callers and its targets; instances pass them on as they are.
const (
	// serialHeader names a call over all its attempts, and sizeHeader the bytes or events of its answer.
	serialHeader = "Soak-Serial"
	sizeHeader   = "Soak-Size"
	// digestHeader is the digest of what the target has to get, and repeatHeader says that it may run again.
	digestHeader = "Soak-Digest"
	repeatHeader = "Soak-Repeatable"
	streamHeader = "Soak-Stream"
)

const (
	// letters is what bodies are made of.
	letters = "abcdefghijklmnopqrstuvwxyz0123456789 .,"
	// mostEventBytes is the size of the largest data of an event.
	mostEventBytes = 200
)

// content returns bytes that hang on a text alone.
func content(text string, size int) []byte {
	chance := rand.New(rand.NewPCG(xxhash.Sum64String(text), 0))
	made := make([]byte, size)
	for place := range made {
		made[place] = letters[chance.IntN(len(letters))]
	}
	return made
}

// event returns one event of a stream; the first is number one.
func event(serial string, number int) []byte {
	name := fmt.Sprint(serial, "/", number)
	size := 1 + int(xxhash.Sum64String(name)%mostEventBytes)
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", number, content(name, size))
}

// events returns the events of a stream after one.
func events(serial string, after, last int) []byte {
	var made bytes.Buffer
	for number := after + 1; number <= last; number++ {
		made.Write(event(serial, number))
	}
	return made.Bytes()
}

// digest returns the digest of texts in their order.
func digest(texts ...string) string {
	hash := sha256.New()
	for _, text := range texts {
		// Writing to a hash cannot fail.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(text), text)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// answerBody returns the whole body of the answer to a request with the given headers.
func answerBody(header http.Header) []byte {
	serial := header.Get(serialHeader)
	size := number(header.Get(sizeHeader))
	if header.Get(streamHeader) == "" {
		return content(serial, size)
	}
	return events(serial, number(header.Get(standin.LastEventHeader)), size)
}

// number reads a header; what is no number counts as none.
func number(text string) int {
	read, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return read
}
