package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/standin"
)

// Report is what one size of fleet showed.
type Report struct {
	Shape   string        `json:"shape"`
	Routing []RoutingCase `json:"routing"`
	Batch   []BatchCase   `json:"batch"`
	Rates   []Rates       `json:"rates"`
	Cost    Cost          `json:"idle_cost"`
}

// RoutingCase is online load under one routing policy.
type RoutingCase struct {
	Policy string `json:"policy"`
	Online Online `json:"online"`
	// CacheHits is the share of prompt blocks that engines had cached.
	CacheHits float64 `json:"cache_hits"`
}

// BatchCase is online load beside saturating batch jobs.
type BatchCase struct {
	Policy string `json:"policy"`
	Online Online `json:"online"`
	// Items is the number of batch items completed in a second.
	Items float64 `json:"items_per_second"`
	// WorstTeam is the least served team's items in parts of an equal share.
	WorstTeam float64 `json:"worst_team_of_equal_share"`
	// Doubled counts items that an engine completed more than once.
	Doubled int `json:"items_doubled"`
}

// Shapes are the sizes of today.
func Shapes() []Shape {
	return []Shape{
		{Name: "trust", DataCentres: 4, VMs: 9, Engines: 10, Teams: 8, Rate: 60, Burst: 60},
		{Name: "authority", DataCentres: 3, VMs: 9, Engines: 20, Teams: 8, Rate: 60, Burst: 60},
	}
}

// onlineShare is the online load in parts of what the engines can answer.
const (
	routingShare = 0.6
	onlineShare  = 0.35
)

// capacity is the number of online requests a second that full engines answer:
// a full engine's step takes half as long again as an idle one's.
func (s Shape) capacity() float64 {
	tokens := float64(tokensMin+tokensMax) / 2
	return float64(s.Engines*engineSlots) / (tokens * tokenTime.Seconds() * 1.5)
}

// The parts of a measurement.
const (
	PartRouting = "routing"
	PartBatch   = "batch"
	PartRates   = "rates"
)

// Parts returns all parts.
func Parts() []string { return []string{PartRouting, PartBatch, PartRates} }

// Run measures some parts of one size and prints a table as it goes.
func Run(ctx context.Context, binaries string, shape Shape, parts []string, w io.Writer) (Report, error) {
	report := Report{Shape: shape.Name}
	fmt.Fprintf(w, "== %s: %d VMs, %d data centres, %d engines, %d teams\n", shape.Name, shape.VMs, shape.DataCentres, shape.Engines, shape.Teams)
	steps := map[string]func(context.Context, string, Shape, io.Writer) error{
		PartRouting: report.routing, PartBatch: report.batches, PartRates: report.rates,
	}
	for _, part := range parts {
		step, ok := steps[part]
		if !ok {
			return report, fmt.Errorf("part %q is unknown; choose among %v", part, Parts())
		}
		if err := step(ctx, binaries, shape, w); err != nil {
			return report, err
		}
	}
	return report, nil
}

func (r *Report) routing(ctx context.Context, binaries string, shape Shape, w io.Writer) error {
	shape.Rate, shape.Burst = 10000, 10000
	for _, policy := range []route.Policy{route.PolicyLocality, route.PolicySpread, route.PolicyPowerOfTwo, route.PolicyLeastInFlight, route.PolicyRoundRobin} {
		shape.VMFlags = []string{"--route-policy", string(policy)}
		fleet, err := Start(ctx, binaries, shape)
		if err != nil {
			return err
		}
		if policy == route.PolicyLocality {
			r.Cost, err = fleet.MeasureCost(ctx, 3*time.Second)
			fmt.Fprintf(w, "idle cost a VM: core %.2f%% resident %.1f MB heap %.1f MB inner %.0f B/s; platform %s\n", r.Cost.CorePercent, r.Cost.ResidentMB, r.Cost.HeapMB, r.Cost.InnerBytes, rounded(r.Cost.PlatformCalls))
		}
		online := newOnlineLoad(fleet, shape.capacity()*routingShare, 1).run(ctx, onlineFor)
		hits := fleet.cacheHits()
		fleet.Stop()
		if err != nil {
			return err
		}
		r.Routing = append(r.Routing, RoutingCase{Policy: string(policy), Online: online, CacheHits: hits})
		fmt.Fprintf(w, "routing %-16s %s cache hits %.2f\n", policy, online, hits)
	}
	return nil
}

// String returns the figures on one line.
func (o Online) String() string {
	return fmt.Sprintf("answered %d of %d (refused %d, failed %d) first token %.0f/%.0f/%.0f ms gap %.1f/%.1f/%.1f ms", o.Answered, o.Sent, o.Refused, o.Failed,
		o.FirstToken.P50, o.FirstToken.P95, o.FirstToken.P99, o.TokenGap.P50, o.TokenGap.P95, o.TokenGap.P99)
}

func (r *Report) batches(ctx context.Context, binaries string, shape Shape, w io.Writer) error {
	shape.Rate, shape.Burst = 10000, 10000
	for _, policy := range []string{"online alone", string(dispatch.BatchYield), string(dispatch.BatchCap), string(dispatch.BatchNone)} {
		shape.VMFlags = nil
		if policy != "online alone" {
			shape.VMFlags = []string{"--batch-policy", policy}
		}
		entry, err := measureBatch(ctx, binaries, shape, policy)
		if err != nil {
			return err
		}
		r.Batch = append(r.Batch, entry)
		fmt.Fprintf(w, "batch %-12s %s; %.0f items/s, worst team %.2f of equal, doubled %d\n", policy, entry.Online, entry.Items, entry.WorstTeam, entry.Doubled)
	}
	return nil
}

func measureBatch(ctx context.Context, binaries string, shape Shape, policy string) (BatchCase, error) {
	entry := BatchCase{Policy: policy}
	fleet, err := Start(ctx, binaries, shape)
	if err != nil {
		return entry, err
	}
	defer fleet.Stop()
	if policy != "online alone" {
		load := &batchLoad{fleet: fleet}
		if err := load.submit(ctx, shape.Teams, batchItems/shape.Teams); err != nil {
			return entry, err
		}
		time.Sleep(time.Second)
	}
	before, _, err := fleet.batchRuns()
	if err != nil {
		return entry, err
	}
	startedAt := time.Now()
	entry.Online = newOnlineLoad(fleet, shape.capacity()*onlineShare, 2).run(ctx, onlineFor)
	elapsed := time.Since(startedAt).Seconds()
	after, doubled, err := fleet.batchRuns()
	entry.Doubled = doubled
	entry.Items, entry.WorstTeam = served(before, after, shape.Teams, elapsed)
	return entry, err
}

// served returns the items a second and the least served team's part of an
// equal share.
func served(before, after []int, teams int, elapsed float64) (items, worst float64) {
	sum := 0
	least := -1
	for team := range teams {
		done := after[team] - before[team]
		sum += done
		if least < 0 || done < least {
			least = done
		}
	}
	if sum == 0 {
		return 0, 0
	}
	return float64(sum) / elapsed, float64(least) * float64(teams) / float64(sum)
}

func (r *Report) rates(ctx context.Context, binaries string, shape Shape, w io.Writer) error {
	for _, mode := range []string{"static", "lending", "pledge"} {
		rates, err := measureRates(ctx, binaries, shape, mode)
		if err != nil {
			return err
		}
		r.Rates = append(r.Rates, rates)
		fmt.Fprintf(w, "rates %-8s refused within rate: quiet %.4f, VM killed %.4f; worst team %.3f; beyond %d; flood got %.2f of owed\n",
			mode, rates.RefusedQuiet, rates.RefusedFault, rates.WorstTeam, rates.Beyond, rates.FloodShare)
	}
	return nil
}

// cacheHits is the share of prompt blocks that the engines had cached.
func (f *Fleet) cacheHits() float64 {
	var cached, blocks float64
	for _, engine := range f.engines {
		var counts [2]float64
		if fetch(engine, "/cache_hits", &counts) == nil {
			cached += counts[0]
			blocks += counts[1]
		}
	}
	return cached / max(1, blocks)
}

// batchRuns returns the completed batch items by team, and how many engines
// completed more than once.
func (f *Fleet) batchRuns() (byTeam []int, doubled int, err error) {
	byTeam = make([]int, f.shape.Teams)
	seen := map[string]int{}
	for _, engine := range f.engines {
		var entries []standin.LedgerEntry
		if err := fetch(engine, "/ledger", &entries); err != nil {
			return nil, 0, err
		}
		for _, entry := range entries {
			var item, team int
			at := strings.Index(entry.Body, "lot ")
			if at < 0 || !entry.Completed {
				continue
			}
			if _, err := fmt.Sscanf(entry.Body[at:], "lot %d of %d", &item, &team); err != nil {
				continue
			}
			byTeam[team]++
			if seen[entry.Body]++; seen[entry.Body] == 2 {
				doubled++
			}
		}
	}
	return byTeam, doubled, nil
}

func fetch(address, path string, answer any) error {
	res, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(answer)
}
