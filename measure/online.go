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

// Latency holds percentiles of a latency in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Online is the result of a run of online load, as the callers see it.
type Online struct {
	Sent       int     `json:"sent"`
	Answered   int     `json:"answered"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	FirstToken Latency `json:"first_token_milliseconds"`
	TokenGap   Latency `json:"token_gap_milliseconds"`
	Tokens     int     `json:"tokens"`
}

// onlineLoad is an open-loop load: requests arrive as a Poisson process with a fixed
// mean rate, regardless of the responses to earlier ones.
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

// run sends requests for the given duration and returns once all have ended.
func (l *onlineLoad) run(ctx context.Context, length time.Duration) Online {
	var requests sync.WaitGroup
	startedAt := time.Now()
	next := startedAt
	for time.Since(startedAt) < length && ctx.Err() == nil {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		afterWarmUp := time.Since(startedAt) > warmUpDuration
		body := l.body()
		vm := l.fleet.callers[l.random.IntN(len(l.fleet.callers))]
		team := l.random.IntN(l.fleet.shape.Teams)
		dueAt := next
		requests.Go(func() { l.runRequest(ctx, vm, team, body, dueAt, afterWarmUp) })
	}
	requests.Wait()
	l.result.FirstToken, l.result.TokenGap = latencyOf(l.firstToken), latencyOf(l.tokenGap)
	return l.result
}

func (l *onlineLoad) body() string {
	prefix := strings.Repeat(fmt.Sprintf("p%02d ", l.random.IntN(prefixCount)), prefixBytes/4)
	tokens := minTokens + l.random.IntN(maxTokens-minTokens)
	return fmt.Sprintf(`{"model":"writer","stream":true,"max_tokens":%d,"prompt":"%s %d"}`, tokens, prefix, l.random.Uint32())
}

// runRequest sends one request. Its first-token latency counts from dueAt, so that
// delays in the load generator are not hidden.
func (l *onlineLoad) runRequest(ctx context.Context, vm string, team int, body string, dueAt time.Time, afterWarmUp bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+teamKey(team))
	res, err := l.client.Do(req)
	if err != nil {
		l.count(afterWarmUp, func(r *Online) { r.Failed++ })
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		l.count(afterWarmUp, func(r *Online) { r.Refused++ })
		return
	}
	l.readStream(res, dueAt, afterWarmUp)
}

func (l *onlineLoad) readStream(res *http.Response, dueAt time.Time, afterWarmUp bool) {
	scanner := bufio.NewScanner(res.Body)
	last, tokens, done := dueAt, 0, false
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "data: [DONE]":
			done = true
		case strings.HasPrefix(line, "data: {\"error\""):
			l.count(afterWarmUp, func(r *Online) { r.Failed++ })
			return
		case strings.HasPrefix(line, "data: "):
			now := time.Now()
			l.observe(afterWarmUp, tokens == 0, now.Sub(last))
			last = now
			tokens++
		}
	}
	l.count(afterWarmUp, func(r *Online) {
		r.Tokens += tokens
		if done {
			r.Answered++
		} else {
			r.Failed++
		}
	})
}

func (l *onlineLoad) observe(afterWarmUp, first bool, gap time.Duration) {
	if !afterWarmUp {
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

func (l *onlineLoad) count(afterWarmUp bool, change func(*Online)) {
	if !afterWarmUp {
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
