package relay

import "github.com/sapphirefield/sapphirefield/config"

// rankedModels returns the models whose streams can have different ranks.
func (o rankOrder) rankedModels(doc *config.Document) map[string]bool {
	routeRanks := map[string]map[int]bool{}
	for _, route := range doc.Routes {
		if route.CallKind != config.CallStream {
			continue
		}
		for _, target := range route.Targets {
			if routeRanks[target.Backend] == nil {
				routeRanks[target.Backend] = map[int]bool{}
			}
			routeRanks[target.Backend][route.Rank] = true
		}
	}
	ranked := map[string]bool{}
	for model, ranks := range routeRanks {
		pairs := 0
		for pair := range o {
			if ranks[pair.route] {
				pairs++
			}
		}
		ranked[model] = pairs > 1
	}
	return ranked
}

// ranked reports whether some streams of a model go before others.
func (r *revision) ranked(model string) bool { return r.rankedModels[model] }
