package metrics

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMillis is the upper bound of the histograms in milliseconds; longer latencies are counted as this one.
	maxLatencyMillis = 60_000
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
)

// quantiles are the percentiles that are published.
var quantiles = []float64{50, 90, 95, 99, 100}

// latencies holds a histogram of the time to the first byte for each kind of request.
var latencies = struct {
	sync.Mutex
	byKind map[string]*hdrhistogram.Histogram
}{byKind: make(map[string]*hdrhistogram.Histogram)}

// ObserveLatency adds the time to the first byte of an answer to the histogram of its kind of request.
func ObserveLatency(kind string, latency time.Duration) {
	latencies.Lock()
	defer latencies.Unlock()
	histogram, known := latencies.byKind[kind]
	if !known {
		histogram = hdrhistogram.New(1, maxLatencyMillis, significantDigits)
		latencies.byKind[kind] = histogram
	}
	// Longer latencies are counted as maxLatencyMillis, so RecordValue does not fail.
	_ = histogram.RecordValue(min(maxLatencyMillis, latency.Milliseconds()))
}

// Text is the HTTP handler that serves all metrics as text, one line with a name and a value for each.
func Text(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	expvar.Do(func(variable expvar.KeyValue) {
		switch value := variable.Value.(type) {
		case *expvar.Int:
			writeLine(writer, variable.Key, "", value.Value())
		case *expvar.Map:
			value.Do(func(part expvar.KeyValue) {
				writeLine(writer, variable.Key, part.Key, part.Value)
			})
		}
	})
	latencies.Lock()
	defer latencies.Unlock()
	for kind, histogram := range latencies.byKind {
		for _, quantile := range quantiles {
			writeLine(writer, "first-byte-milliseconds", fmt.Sprintf("%s-p%g", kind, quantile), histogram.ValueAtQuantile(quantile))
		}
		writeLine(writer, "first-byte-count", kind, histogram.TotalCount())
	}
}

// writeLine writes one metric. Write errors are ignored: they mean that the client has disconnected.
func writeLine(writer io.Writer, name, part string, value any) {
	if part != "" {
		name += "{" + part + "}"
	}
	_, _ = fmt.Fprintf(writer, "%s %v\n", name, value)
}
