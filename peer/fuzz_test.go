package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"coltsfootlink"
	"coltsfootlink/peerpb"
)

// FuzzDecode decodes batches of messages from peers, and delivers them to an instance that runs no task for them.
func FuzzDecode(f *testing.F) {
	for _, message := range messages {
		encoder := newEncoder()
		encoded, err := encoder.encode(message)
		if err != nil {
			f.Fatal(err)
		}
		batch, err := proto.Marshal(&peerpb.Batch{Messages: []*peerpb.Message{encoded}, Names: encoder.takeUnsent()})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(batch)
	}
	f.Fuzz(func(t *testing.T, bytes []byte) {
		batch, decoder := new(peerpb.Batch), new(decoder)
		if proto.Unmarshal(bytes, batch) != nil || decoder.addNames(batch.GetNames()) != nil {
			return
		}
		for _, encoded := range batch.GetMessages() {
			message, err := decoder.decode(encoded)
			if (message == nil) == (err == nil) {
				t.Fatalf("message %v with error %v", message, err)
			}
			new(Router).Deliver(coltsfootlink.Delivery{Message: message})
		}
	})
}
