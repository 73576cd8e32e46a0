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

// Report holds the results for one fleet size.
type Report struct {
	Shape   string        `json:"shape"`
	Routing []RoutingCase `json:"routing"`
	Batch   []BatchCase   `json:"batch"`
	Rates   []Rates       `json:"rates"`
	Cost    Cost          `json:"idle_cost"`
}

// RoutingCase is the result of online load under one routing policy.
type RoutingCase struct {
	Policy string `json:"policy"`
	Online Online `json:"online"`
	// CacheHits is the fraction of prompt blocks found in the engines' prefix caches.
	CacheHits float64 `json:"cache_hits"`
}

// BatchCase is the result of online load together with saturating batch jobs.
type BatchCase struct {
	Policy string `json:"policy"`
	Online Online `json:"online"`
	// ItemsPerSecond is the rate of completed batch items.
	ItemsPerSecond float64 `json:"items_per_second"`
	// WorstTeam is the number of completed items of the team with the fewest, divided
	// by an equal share of all completed items.
	WorstTeam float64 `json:"worst_team_of_equal_share"`
	// DuplicateItems is the number of items that engines completed more than once.
	DuplicateItems int `json:"items_doubled"`
}

// Shapes returns the sizes of the current deployments.
func Shapes() []Shape {
	return []Shape{
		{Name: "trust", DataCentres: 4, VMs: 9, Engines: 10, Teams: 8, Rate: 60, Burst: 60},
		{Name: "authority", DataCentres: 3, VMs: 9, Engines: 20, Teams: 8, Rate: 60, Burst: 60},
	}
}

// The online load of the routing and batch measurements, as a fraction of the engines'
// capacity.
const (
	routingShare = 0.6
	onlineShare  = 0.35
)

// capacity returns the number of online requests per second that fully loaded engines
// answer. A decoding step takes 1.5 times as long on a full engine as on an idle one.
func (s Shape) capacity() float64 {
	tokens := float64(minTokens+maxTokens) / 2
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

// Run measures the given parts with one fleet size and prints a line to w as each result
// is known. It returns an error if a part is unknown.
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
			fmt.Fprintf(w, "idle cost per VM: core %.2f%% resident %.1f MB heap %.1f MB inner %.0f B/s; platform %s\n", r.Cost.CorePercent, r.Cost.ResidentMB, r.Cost.HeapMB, r.Cost.InnerBytesPerSecond, formatCalls(r.Cost.PlatformCallsPerSecond))
		}
		online := newOnlineLoad(fleet, shape.capacity()*routingShare, 1).run(ctx, onlineDuration)
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
		result, err := measureBatch(ctx, binaries, shape, policy)
		if err != nil {
			return err
		}
		r.Batch = append(r.Batch, result)
		fmt.Fprintf(w, "batch %-12s %s; %.0f items/s, worst team %.2f of an equal share, items completed more than once %d\n", policy, result.Online, result.ItemsPerSecond, result.WorstTeam, result.DuplicateItems)
	}
	return nil
}

func measureBatch(ctx context.Context, binaries string, shape Shape, policy string) (BatchCase, error) {
	result := BatchCase{Policy: policy}
	fleet, err := Start(ctx, binaries, shape)
	if err != nil {
		return result, err
	}
	defer fleet.Stop()
	if policy != "online alone" {
		load := &batchLoad{fleet: fleet}
		if err := load.submit(ctx, shape.Teams, batchItems/shape.Teams); err != nil {
			return result, err
		}
		time.Sleep(time.Second)
	}
	before, _, err := fleet.countBatchItems()
	if err != nil {
		return result, err
	}
	startedAt := time.Now()
	result.Online = newOnlineLoad(fleet, shape.capacity()*onlineShare, 2).run(ctx, onlineDuration)
	elapsed := time.Since(startedAt).Seconds()
	after, duplicates, err := fleet.countBatchItems()
	result.DuplicateItems = duplicates
	result.ItemsPerSecond, result.WorstTeam = batchThroughput(before, after, shape.Teams, elapsed)
	return result, err
}

// batchThroughput returns the items completed per second, and the items of the team with
// the fewest divided by an equal share.
func batchThroughput(before, after []int, teams int, elapsed float64) (items, worst float64) {
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
		fmt.Fprintf(w, "rates %-8s not admitted within rate: without fault %.4f, VM killed %.4f; worst team admitted %.3f; admitted beyond rate and burst %d; flooding team admitted %.2f of its rate and burst\n",
			mode, rates.RefusedWithoutFault, rates.RefusedVMKilled, rates.WorstTeam, rates.AdmittedBeyondLimit, rates.FloodAdmittedShare)
	}
	return nil
}

// cacheHits returns the fraction of prompt blocks found in the engines' prefix caches.
func (f *Fleet) cacheHits() float64 {
	var cached, blocks float64
	for _, engine := range f.engines {
		var counts [2]float64
		if fetchJSON(engine, "/cache_hits", &counts) == nil {
			cached += counts[0]
			blocks += counts[1]
		}
	}
	return cached / max(1, blocks)
}

// countBatchItems returns the number of completions of batch items by team, and the
// number of items that engines completed more than once.
func (f *Fleet) countBatchItems() (byTeam []int, duplicates int, err error) {
	byTeam = make([]int, f.shape.Teams)
	seen := map[string]int{}
	for _, engine := range f.engines {
		var records []standin.RequestRecord
		if err := fetchJSON(engine, "/ledger", &records); err != nil {
			return nil, 0, err
		}
		for _, record := range records {
			var item, team int
			at := strings.Index(record.Body, "lot ")
			if at < 0 || !record.Completed {
				continue
			}
			if _, err := fmt.Sscanf(record.Body[at:], "lot %d of %d", &item, &team); err != nil {
				continue
			}
			byTeam[team]++
			if seen[record.Body]++; seen[record.Body] == 2 {
				duplicates++
			}
		}
	}
	return byTeam, duplicates, nil
}

func fetchJSON(address, path string, answer any) error {
	res, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(answer)
}
