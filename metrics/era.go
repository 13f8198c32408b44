package metrics

import "expvar"

// storeEra is the latest known era of the platform's store.
var storeEra = expvar.NewInt("store-era")

// SetStoreEra publishes the latest known era of the platform's store; zero if the store reports none.
func SetStoreEra(era uint64) { storeEra.Set(int64(era)) }
