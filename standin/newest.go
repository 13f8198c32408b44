package standin

import (
	"context"
	"maps"
	"slices"

	"coltsfootlink/platform"
)

// newestItems is the most items of one page of newest records.
const newestItems = 500

// newest returns the newest record of each key behind the given one.
func (store *Store) newest(ctx context.Context, name partitionName, after string) (platform.NewestPage, error) {
	var page platform.NewestPage
	err := store.do(ctx, func(held *contents) {
		part := held.partition(name)
		page.End = part.end()
		items := newestOf(part.kept, part.first, part.records)
		for _, key := range slices.Sorted(keysBehind(items, after)) {
			if len(page.Items) == newestItems {
				page.More = true
				return
			}
			page.Items = append(page.Items, items[key])
		}
	})
	return page, err
}

// newestOf returns the newest record of each key that was not dropped, after records that begin at an offset.
func newestOf(before map[string]platform.NewestRecord, first uint64, records [][]byte) map[string]platform.NewestRecord {
	items := maps.Clone(before)
	if items == nil {
		items = make(map[string]platform.NewestRecord)
	}
	for place, record := range records {
		key, value, err := platform.DecodeKeyed(record)
		switch {
		case err != nil:
		case len(value) == 0:
			delete(items, key)
		default:
			items[key] = platform.NewestRecord{Key: key, Value: value, Offset: first + uint64(place)}
		}
	}
	return items
}

// keysBehind yields the keys that come after one.
func keysBehind(items map[string]platform.NewestRecord, after string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range items {
			if key > after && !yield(key) {
				return
			}
		}
	}
}
