package standin

import (
	"context"
	"maps"
	"slices"

	"coltsfootlink/platform"
)

// maxPageItems is the maximum number of items in one page of newest records.
const maxPageItems = 500

// newest returns one page of the newest record of each key, sorted by key, beginning with the first key after the
// given one, and the store's era.
func (store *Store) newest(ctx context.Context, name partitionName, after string) (platform.NewestPage, uint64, error) {
	var page platform.NewestPage
	era, err := store.do(ctx, func(state *storeState) {
		part := state.partition(name)
		page.End = part.end()
		items := compact(part.compacted, part.first, part.records)
		for _, key := range slices.Sorted(keysAfter(items, after)) {
			if len(page.Items) == maxPageItems {
				page.More = true
				return
			}
			page.Items = append(page.Items, items[key])
		}
	})
	return page, era, err
}

// compact returns the newest record of each key, given those of earlier records and the further records, whose offsets
// begin at first. A record with an empty value deletes its key; records that don't decode are skipped.
func compact(base map[string]platform.NewestRecord, first uint64, records [][]byte) map[string]platform.NewestRecord {
	items := maps.Clone(base)
	if items == nil {
		items = make(map[string]platform.NewestRecord)
	}
	for index, record := range records {
		key, value, err := platform.DecodeKeyed(record)
		switch {
		case err != nil:
		case len(value) == 0:
			delete(items, key)
		default:
			items[key] = platform.NewestRecord{Key: key, Value: value, Offset: first + uint64(index)}
		}
	}
	return items
}

// keysAfter yields the keys that sort after the given one, in no particular order.
func keysAfter(items map[string]platform.NewestRecord, after string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range items {
			if key > after && !yield(key) {
				return
			}
		}
	}
}
