package revision

import "testing"

// FuzzDecodeRecord decodes records of the configuration's log.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"id":"a","base":3,"kind":"snapshot"}`))
	f.Add([]byte(`{"base":-1}`))
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
