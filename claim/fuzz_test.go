package claim

import "testing"

// FuzzDecodeRecord decodes records of the log of claims.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"entries":[{"key":"k","attempt":"a"}]}`))
	f.Add([]byte(`{"entries":[null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		record, err := decodeRecord(body)
		if err != nil {
			return
		}
		if _, err := record.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
