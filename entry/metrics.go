package entry

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// histogramBounds are the upper bounds of the latency buckets, about a factor of two
// apart, from one millisecond to the duration of the longest request.
var histogramBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
}

// Metrics holds the counters, gauges and latency histograms of a process.
type Metrics struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*histogram
	maps       map[string]*expvar.Map
	// labels holds the label of the groups of counters whose keys are values of a label.
	labels map[string]string
	gauges map[string]func() int64
}

type histogram struct {
	buckets []int64
	count   int64
	sum     time.Duration
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{counters: map[string]int64{}, histograms: map[string]*histogram{}, maps: map[string]*expvar.Map{}, labels: map[string]string{}, gauges: map[string]func() int64{}}
}

// Count implements relay.Observer: it adds 1 to the named counter.
func (m *Metrics) Count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name]++
}

// Observe implements relay.Observer: it adds the duration to the named histogram.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[name]
	if !ok {
		h = &histogram{buckets: make([]int64, len(histogramBounds))}
		m.histograms[name] = h
	}
	h.count++
	h.sum += d
	for i, bound := range histogramBounds {
		if d <= bound {
			h.buckets[i]++
			break
		}
	}
}

// Map returns the named group of counters, and creates it on first use.
func (m *Metrics) Map(name string) *expvar.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	group, ok := m.maps[name]
	if !ok {
		group = new(expvar.Map).Init()
		m.maps[name] = group
	}
	return group
}

// LabelledMap is like Map, for a group whose keys are the values of the label.
func (m *Metrics) LabelledMap(name, label string) *expvar.Map {
	m.mu.Lock()
	m.labels[name] = label
	m.mu.Unlock()
	return m.Map(name)
}

// Gauge registers a gauge; value is called each time the metrics are read.
func (m *Metrics) Gauge(name string, value func() int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = value
}

// ServeHTTP writes all metrics as sorted lines of text, one value per line.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write fails only if the client has disconnected.
	_, _ = io.WriteString(w, m.text())
}

func (m *Metrics) text() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lines []string
	add := func(name string, value any) { lines = append(lines, fmt.Sprintf("bergamotgrade_%s %v\n", name, value)) }
	for name, value := range m.counters {
		add(name+"_total", value)
	}
	for name, group := range m.maps {
		group.Do(func(kv expvar.KeyValue) {
			if label, ok := m.labels[name]; ok {
				add(fmt.Sprintf("%s_total{%s=%q}", name, label, kv.Key), kv.Value)
				return
			}
			add(name+"_"+kv.Key+"_total", kv.Value)
		})
	}
	for name, value := range m.gauges {
		add(name, value())
	}
	for name, h := range m.histograms {
		cumulative := int64(0)
		for i, bound := range histogramBounds {
			cumulative += h.buckets[i]
			add(fmt.Sprintf("%s_seconds_bucket{le=\"%g\"}", name, bound.Seconds()), cumulative)
		}
		add(name+"_seconds_bucket{le=\"+Inf\"}", h.count)
		add(name+"_seconds_sum", h.sum.Seconds())
		add(name+"_seconds_count", h.count)
	}
	sort.Strings(lines)
	text := ""
	for _, line := range lines {
		text += line
	}
	return text
}
