package compare

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// confidence is the probability with which an interval holds the mean difference.
	confidence = 0.95
	// power is the probability with which the plays that are asked for show a difference of
	// resolution.
	power      = 0.8
	resolution = 0.01
	// resamples is the number of samples that the bootstrap draws.
	resamples = 4_000
	// minPairs is the least number of pairs from which an interval is estimated.
	minPairs = 3
)

// Verdict says what a comparison has shown.
type Verdict string

// The verdicts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	NoDifference Verdict = "no difference"
	TooFewPairs  Verdict = "too few pairs"
)

// Difference describes the paired differences of one figure: those of the second commit
// minus those of the first.
type Difference struct {
	Pairs int     `json:"pairs"`
	Mean  float64 `json:"mean"`
	// Low and High bound the mean difference with the given confidence.
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// PairsForResolution is the number of pairs that would show a difference of resolution.
	PairsForResolution int     `json:"pairs_for_0.01"`
	Verdict            Verdict `json:"verdict"`
}

// estimate returns what the paired differences show. The same seed gives the same result.
func estimate(differences []float64, higherIsBetter bool, seed uint64) Difference {
	d := Difference{Pairs: len(differences), Verdict: TooFewPairs}
	if len(differences) == 0 {
		return d
	}
	d.Mean = stat.Mean(differences, nil)
	d.Low, d.High = d.Mean, d.Mean
	if len(differences) < minPairs {
		return d
	}
	d.PairsForResolution = pairsFor(stat.StdDev(differences, nil), resolution)
	d.Low, d.High = bootstrap(differences, rand.New(rand.NewPCG(seed, 0)))
	d.Verdict = verdict(d, higherIsBetter)
	return d
}

func verdict(d Difference, higherIsBetter bool) Verdict {
	switch {
	case d.Low <= 0 && d.High >= 0:
		return NoDifference
	case d.Low > 0 == higherIsBetter:
		return Better
	default:
		return Worse
	}
}

// bootstrap returns the expanded percentile interval of the mean. The plain percentile
// interval is too narrow for a few values.
func bootstrap(values []float64, random *rand.Rand) (low, high float64) {
	means := make([]float64, resamples)
	sample := make([]float64, len(values))
	for i := range means {
		for j := range sample {
			sample[j] = values[random.IntN(len(values))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	n := float64(len(values))
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
	tail := distuv.UnitNormal.CDF(math.Sqrt(n/(n-1)) * student.Quantile((1-confidence)/2))
	return stat.Quantile(tail, stat.Empirical, means, nil), stat.Quantile(1-tail, stat.Empirical, means, nil)
}

// pairsFor returns the number of pairs that show a mean difference, if their differences
// have the given standard deviation.
func pairsFor(deviation, difference float64) int {
	quantiles := distuv.UnitNormal.Quantile((1+confidence)/2) + distuv.UnitNormal.Quantile(power)
	return max(minPairs, int(math.Ceil(math.Pow(quantiles*deviation/difference, 2))))
}
