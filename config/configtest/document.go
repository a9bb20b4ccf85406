// Package configtest generates valid documents of a given size for benchmarks
// and tests.
package configtest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// Sizes of the largest intended deployment: 4,600 teams, 3,100 engines, 9 models,
// 8 kinds of accelerators, 4 regions and 14 availability zones.
const (
	targetTeams      = 4600
	targetEngines    = 3100
	acceleratorCount = 8
	modelCount       = 9
)

var zonesPerRegion = []int{4, 4, 3, 3}

// TeamCounts are the numbers of teams that benchmarks use: that of the largest
// intended deployment, and a tenth and a hundredth of it.
var TeamCounts = []int{46, 460, 4600}

// Document returns a valid document with the given number of teams and a
// proportionate number of engines.
func Document(teams int) *config.Document {
	doc := &config.Document{Schema: config.SchemaVersion}
	zones := addRegions(doc)
	addLinks(doc, zones)
	addModels(doc)
	addServers(doc, zones, teams*targetEngines/targetTeams)
	for i := range teams {
		doc.Teams = append(doc.Teams, team(i))
	}
	doc.Objectives = []config.Objective{
		{Name: "first-token", Model: "model-0", Measure: config.MeasureTimeToFirstToken, Threshold: 670 * time.Millisecond, Target: 0.95},
		{Name: "between-tokens", Model: "model-0", Measure: config.MeasureInterTokenLatency, Threshold: 27 * time.Millisecond, Target: 0.95},
	}
	return doc.Canonical()
}

func addRegions(doc *config.Document) (zones []string) {
	for r, count := range zonesPerRegion {
		region := config.Region{Name: fmt.Sprintf("region-%d", r)}
		for z := range count {
			region.Zones = append(region.Zones, fmt.Sprintf("region-%d-%c", r, 'a'+z))
		}
		doc.Regions = append(doc.Regions, region)
		zones = append(zones, region.Zones...)
	}
	return zones
}

func addLinks(doc *config.Document, zones []string) {
	for i, from := range zones {
		for j, to := range zones {
			doc.Links = append(doc.Links, config.Link{
				From: from, To: to,
				BytesPerSecond: 125e6 * float64(1+(i*7+j*3)%100),
				Latency:        time.Duration(50+(i+j)*10) * time.Microsecond,
			})
		}
	}
}

func addModels(doc *config.Document) {
	for i := range acceleratorCount {
		doc.Accelerators = append(doc.Accelerators, config.Accelerator{
			Kind: fmt.Sprintf("kind-%d", i), MemoryBytes: int64(16+i*8) << 30,
			LayerTokensPerSecond: float64(800 * (i + 1)), PrefillSpeedup: config.DefaultPrefillSpeedup,
		})
	}
	for i := range modelCount {
		doc.Models = append(doc.Models, config.Model{
			Name: fmt.Sprintf("model-%d", i), Versions: []string{"v1", "v2"}, ServingVersion: "v1",
			Layers: 32 + 8*i, BytesPerLayer: 700_000_000, ActivationBytes: 8192,
			KVBytesPerTokenLayer: 4096, ContextTokens: 32768,
		})
	}
	service := config.NewService()
	service.Name = "orders"
	service.Idempotent = []config.CallRule{{Method: "GET", PathPrefix: "/"}}
	doc.Services = []config.Service{service}
}

func addServers(doc *config.Document, zones []string, engines int) {
	for i := range engines {
		fencing := config.FencingChecks
		if i%2 == 1 {
			fencing = config.FencingIgnores
		}
		doc.Servers = append(doc.Servers, config.Server{
			ID: fmt.Sprintf("engine-%04d", i), Zone: zones[i%len(zones)], Model: fmt.Sprintf("model-%d", i%modelCount),
			Accelerator: fmt.Sprintf("kind-%d", i%acceleratorCount), Fencing: fencing,
		})
	}
}

func team(i int) config.Team {
	name := fmt.Sprintf("team-%04d", i)
	hash := sha256.Sum256([]byte(name))
	return config.Team{
		Name: name, KeyHashes: []string{hex.EncodeToString(hash[:])}, Weight: 1 + float64(i%8), Priority: i % 100,
		Models: []string{fmt.Sprintf("model-%d", i%modelCount)}, Services: []string{"orders"},
		RequestsPerSecond: float64(1 + i%50), Concurrency: 4 + i%60,
	}
}
