package peer

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"coltsfootlink"
)

// maxNames is the maximum number of names that a receiver accepts in the name table of one stream. Senders replace the
// stream when the table is half full.
const maxNames = 1 << 16

// encoder encodes the messages of one stream on the sender's side. It assigns each name an index in the stream's name
// table, so that a name is sent in full only once.
type encoder struct {
	// indexes maps names to their indexes, which start at 1.
	indexes map[string]uint32
	// unsent are the names that have an index but have not been sent to the receiver yet.
	unsent []string
}

// decoder decodes the messages of one stream on the receiver's side.
type decoder struct {
	// names is the name table; the name with index 1 comes first.
	names []string
}

func newEncoder() *encoder { return &encoder{indexes: make(map[string]uint32)} }

// full reports whether the stream has to be replaced because half the names that the receiver accepts are in use; the
// other half leaves space for the names of the next batch.
func (encoder *encoder) full() bool { return len(encoder.indexes) >= maxNames/2 }

// ref returns the index of a name, which it adds to the table if need be; zero for the empty name.
func (encoder *encoder) ref(name string) uint32 {
	if name == "" {
		return 0
	}
	index, known := encoder.indexes[name]
	if !known {
		index = uint32(len(encoder.indexes)) + 1
		encoder.indexes[name] = index
		encoder.unsent = append(encoder.unsent, name)
	}
	return index
}

// number returns the index of a number, which is sent as a name because it is used often; zero for zero.
func (encoder *encoder) number(value uint64) uint32 {
	if value == 0 {
		return 0
	}
	return encoder.ref(strconv.FormatUint(value, 10))
}

// shard returns the index of a shard, which is sent as a name.
func (encoder *encoder) shard(shard coltsfootlink.Shard) uint32 { return encoder.ref(shard.String()) }

// takeUnsent returns the names to send with the next batch and clears their list.
func (encoder *encoder) takeUnsent() []string {
	unsent := encoder.unsent
	encoder.unsent = nil
	return unsent
}

// addNames appends received names to the table, or returns an error if the table would exceed maxNames.
func (decoder *decoder) addNames(names []string) error {
	if len(decoder.names)+len(names) > maxNames {
		return errors.New("peer: name table of a stream exceeds 65536 names")
	}
	decoder.names = append(decoder.names, names...)
	return nil
}

// name returns the name with an index; empty if there is none.
func (decoder *decoder) name(index uint32) string {
	if index == 0 || int(index) > len(decoder.names) {
		return ""
	}
	return decoder.names[index-1]
}

// number returns the number with an index; zero if there is none.
func (decoder *decoder) number(index uint32) uint64 {
	// A name that is not a number decodes to zero.
	value, _ := strconv.ParseUint(decoder.name(index), 10, 64)
	return value
}

// shard returns the shard with an index; the empty shard if there is none.
func (decoder *decoder) shard(index uint32) coltsfootlink.Shard {
	// A name that is not a shard decodes to the empty shard, which no instance owns.
	shard, _ := coltsfootlink.ParseShard(decoder.name(index))
	return shard
}
