package compare

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestIntervalHoldsMeanAsOftenAsStated(t *testing.T) {
	const trials, pairs, maxWrong = 500, 12, 40 // 25 are expected
	random := rand.New(rand.NewPCG(1, 2))
	wrong := 0
	for trial := range trials {
		var noise []float64
		for range pairs {
			noise = append(noise, random.NormFloat64())
		}
		if estimate(noise, true, uint64(trial)).Verdict != NoDifference {
			wrong++
		}
	}
	assert.Assert(t, wrong <= maxWrong, "%d of %d", wrong, trials)
}

func TestVerdicts(t *testing.T) {
	for _, tt := range []struct {
		name           string
		differences    []float64
		higherIsBetter bool
		want           Verdict
	}{
		{"none", nil, true, TooFewPairs},
		{"two pairs", []float64{1, 1}, true, TooFewPairs},
		{"equal", []float64{0, 0, 0, 0}, true, NoDifference},
		{"scattered", []float64{0.3, -0.2, 0.1, -0.3}, true, NoDifference},
		{"higher", []float64{0.1, 0.12, 0.11, 0.1}, true, Better},
		{"higher of what should be low", []float64{0.1, 0.12, 0.11, 0.1}, false, Worse},
		{"lower", []float64{-0.1, -0.12, -0.11, -0.1}, true, Worse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, estimate(tt.differences, tt.higherIsBetter, 1).Verdict, tt.want)
		})
	}
}

func TestPairsForResolution(t *testing.T) {
	// (1.96 + 0.84) squared, times 0.03 squared over 0.01 squared.
	assert.Equal(t, pairsFor(0.03, 0.01), 71)
	assert.Equal(t, pairsFor(0, 0.01), minPairs)
}

func TestBadFiguresAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"worth":           "NAME=PATTERN",
		"=(x)":            "NAME=PATTERN",
		"worth=":          "NAME=PATTERN",
		"worth=(":         "missing closing",
		"worth=1":         "0 groups",
		"worth=(1)|(2)":   "2 groups",
		"-late=late (.+)": "",
	} {
		_, err := ParseFigure(text)
		if want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, want)
	}
}

func TestCommitsTakeTurnsAtBeingFirst(t *testing.T) {
	first := map[string][]int{}
	for _, p := range (Options{Days: []string{"calm", "storm"}, Plays: 4}).pairs() {
		first[p.Day] = append(first[p.Day], p.first)
	}
	assert.DeepEqual(t, first, map[string][]int{"calm": {0, 1, 0, 1}, "storm": {1, 0, 1, 0}})
}

// newRepository returns a repository with two commits: in the second one the figure is
// higher by 0.5, with the same noise of each seed.
func newRepository(t *testing.T) string {
	dir := t.TempDir()
	git := func(arguments ...string) {
		command := exec.Command("git", append([]string{"-c", "user.name=test", "-c", "user.email=test@example.com"}, arguments...)...)
		command.Dir = dir
		output, err := command.CombinedOutput()
		assert.NilError(t, err, string(output))
	}
	git("init", "--quiet")
	for _, base := range []string{"1", "1.5"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "base"), []byte(base), 0o600))
		git("add", "base")
		git("commit", "--quiet", "-m", base)
	}
	return dir
}

func testOptions(t *testing.T, script string, figures ...string) Options {
	o := Options{
		Repository: newRepository(t), Commits: [2]string{"HEAD~1", "HEAD"}, Dir: t.TempDir(),
		Plays: 12, Parallel: 2, Processors: 2, Command: []string{"sh", "-c", script, "{seed}"},
	}
	for _, text := range figures {
		figure, err := ParseFigure(text)
		assert.NilError(t, err)
		o.Figures = append(o.Figures, figure)
	}
	return o
}

const worthOfSeed = `awk -v seed=$0 '{ printf "worth %f\n", $1 + seed * 7 % 5 }' base`

func TestCommitsAreCompared(t *testing.T) {
	for _, tt := range []struct {
		commits [2]string
		want    Verdict
	}{
		{[2]string{"HEAD~1", "HEAD"}, Better},
		{[2]string{"HEAD", "HEAD~1"}, Worse},
		{[2]string{"HEAD", "HEAD"}, NoDifference},
	} {
		t.Run(string(tt.want), func(t *testing.T) {
			o := testOptions(t, worthOfSeed, `worth=worth ([0-9.]+)`)
			o.Commits = tt.commits
			result, err := Run(context.Background(), o, io.Discard)
			assert.NilError(t, err)
			assert.Equal(t, result.Figures["worth"].Verdict, tt.want)
			assert.Equal(t, len(readResult(t, o.Dir).Pairs), 12)
			assert.NilError(t, drawPlots(o.Dir, o.Figures, result))
			_, err = os.Stat(filepath.Join(o.Dir, "worth.svg"))
			assert.NilError(t, err)
		})
	}
}

func readResult(t *testing.T, dir string) (r Result) {
	text, err := os.ReadFile(filepath.Join(dir, resultFile))
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(text, &r))
	return r
}

func TestBadInputIsExplainedAndPlaysAreKept(t *testing.T) {
	for _, tt := range []struct {
		name, script, want string
		change             func(*Options)
		kept               int
	}{
		{"unknown commit", worthOfSeed, `commit "nowhere" is not in the repository`, func(o *Options) { o.Commits[0] = "nowhere" }, 0},
		{"build fails", worthOfSeed, "build of HEAD~1", func(o *Options) { o.Build = "echo no compiler; false" }, 0},
		{"command fails always", "echo worth 1; exit 3", "the first 3 pairs have failed", func(o *Options) { o.Parallel = 1 }, 3},
		{"command fails once", `if [ $0 = 4 ]; then exit 3; fi; ` + worthOfSeed, "1 of 12 pairs are incomplete", nil, 12},
		{"pattern finds nothing", "echo value 1", "the pattern finds nothing", func(o *Options) { o.Parallel = 1 }, 3},
		{"a figure on one side only", `if grep -q 1.5 base; then echo worth 1; fi; echo late 2`, `figure "worth": the pattern finds nothing`, func(o *Options) {
			o.Parallel = 1
		}, 3},
		{"no seed", worthOfSeed, "no {seed}", func(o *Options) { o.Command = o.Command[:3] }, 0},
		{"figure twice", worthOfSeed, "given twice", func(o *Options) { o.Figures = append(o.Figures, o.Figures[0]) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := testOptions(t, tt.script, `worth=worth ([0-9.]+)`)
			o.Seed = 1
			if tt.change != nil {
				tt.change(&o)
			}
			_, err := Run(context.Background(), o, io.Discard)
			assert.ErrorContains(t, err, tt.want)
			if tt.kept > 0 {
				assert.Equal(t, len(readResult(t, o.Dir).Pairs), tt.kept)
			}
		})
	}
}

// endOnSecondPair ends the comparison once a pair has been played.
type endOnSecondPair struct{ end context.CancelFunc }

func (e endOnSecondPair) Write(p []byte) (int, error) {
	if strings.HasPrefix(string(p), "pair 2") {
		e.end()
	}
	return len(p), nil
}

func TestSignalEndsPlaysAndKeepsWhatHasEnded(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	o := testOptions(t, `if [ $0 -gt 2 ]; then sleep 600; fi; `+worthOfSeed, `worth=worth ([0-9.]+)`)
	o.Seed, o.Parallel = 1, 1
	_, err := Run(ctx, o, endOnSecondPair{end})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, len(readResult(t, o.Dir).Pairs), 2)
}
