package measure

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is a distribution in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Online is what the callers of online requests saw.
type Online struct {
	Sent       int     `json:"sent"`
	Answered   int     `json:"answered"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	FirstToken Latency `json:"first_token_milliseconds"`
	TokenGap   Latency `json:"token_gap_milliseconds"`
	Tokens     int     `json:"tokens"`
}

// onlineLoad sends requests at random times of a fixed mean rate, whatever
// becomes of them.
type onlineLoad struct {
	fleet  *Fleet
	rate   float64
	random *rand.Rand
	client *http.Client

	mu         sync.Mutex
	result     Online
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

func newOnlineLoad(fleet *Fleet, rate float64, seed uint64) *onlineLoad {
	return &onlineLoad{
		fleet: fleet, rate: rate, random: rand.New(rand.NewPCG(seed, seed)),
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 30 * time.Second},
		firstToken: hdrhistogram.New(1, 60_000_000, 3),
		tokenGap:   hdrhistogram.New(1, 60_000_000, 3),
	}
}

// run sends for the length and returns once all answers are there.
func (l *onlineLoad) run(ctx context.Context, length time.Duration) Online {
	var requests sync.WaitGroup
	startedAt := time.Now()
	next := startedAt
	for time.Since(startedAt) < length && ctx.Err() == nil {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		counted := time.Since(startedAt) > warmUp
		body := l.body()
		vm := l.fleet.callers[l.random.IntN(len(l.fleet.callers))]
		team := l.random.IntN(l.fleet.shape.Teams)
		dueAt := next
		requests.Go(func() { l.runRequest(ctx, vm, team, body, dueAt, counted) })
	}
	requests.Wait()
	l.result.FirstToken, l.result.TokenGap = latencyOf(l.firstToken), latencyOf(l.tokenGap)
	return l.result
}

func (l *onlineLoad) body() string {
	prefix := strings.Repeat(fmt.Sprintf("p%02d ", l.random.IntN(prefixes)), prefixBytes/4)
	tokens := tokensMin + l.random.IntN(tokensMax-tokensMin)
	return fmt.Sprintf(`{"model":"writer","stream":true,"max_tokens":%d,"prompt":"%s %d"}`, tokens, prefix, l.random.Uint32())
}

// runRequest measures from the time at which the request was due.
func (l *onlineLoad) runRequest(ctx context.Context, vm string, team int, body string, dueAt time.Time, counted bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(team))
	res, err := l.client.Do(req)
	if err != nil {
		l.count(counted, func(r *Online) { r.Failed++ })
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		l.count(counted, func(r *Online) { r.Refused++ })
		return
	}
	l.read(res, dueAt, counted)
}

func (l *onlineLoad) read(res *http.Response, dueAt time.Time, counted bool) {
	scanner := bufio.NewScanner(res.Body)
	last, tokens, done := dueAt, 0, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "data: [DONE]":
			done = true
		case strings.HasPrefix(line, "data: {\"error\""):
			l.count(counted, func(r *Online) { r.Failed++ })
			return
		case strings.HasPrefix(line, "data: "):
			now := time.Now()
			l.observe(counted, tokens == 0, now.Sub(last))
			last = now
			tokens++
		}
	}
	l.count(counted, func(r *Online) {
		r.Tokens += tokens
		if done {
			r.Answered++
		} else {
			r.Failed++
		}
	})
}

func (l *onlineLoad) observe(counted, first bool, gap time.Duration) {
	if !counted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	histogram := l.tokenGap
	if first {
		histogram = l.firstToken
	}
	_ = histogram.RecordValue(max(1, gap.Microseconds()))
}

func (l *onlineLoad) count(counted bool, change func(*Online)) {
	if !counted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Sent++
	change(&l.result)
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
	return Latency{P50: at(50), P95: at(95), P99: at(99)}
}
