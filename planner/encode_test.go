package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/placement"
)

var syntheticModel = placement.Model{Layers: 80, BytesPerLayer: 1600 << 20, ActivationBytes: 16 << 10, KVBytesPerTokenLayer: 4 << 10}

// syntheticFleet returns engines of 8 kinds in zones of about 220 engines, as at
// the target size, but in at least 3 zones.
func syntheticFleet(engines int) placement.Fleet {
	zones := max(3, engines/220)
	var f placement.Fleet
	for i := range engines {
		kind := i % 8
		f.Engines = append(f.Engines, placement.Engine{
			Name: fmt.Sprintf("engine-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%zones),
			MemoryBytes: int64(24+8*kind) << 30, LayerTokensPerSecond: float64(10_000 + 5_000*kind),
		})
	}
	for i := range zones {
		for j := range zones {
			if i != j {
				f.Links = append(f.Links, placement.Link{
					From: fmt.Sprintf("zone-%02d", i), To: fmt.Sprintf("zone-%02d", j), BytesPerSecond: 20e6 * float64(1+(i*7+j*3)%100),
				})
			}
		}
	}
	return f
}

// replanAfterLoss returns the first directive of a fleet and the one after the
// loss of an eighth of its engines.
func replanAfterLoss(t testing.TB, engines int) (first, next *Directive) {
	in := Input{Fleet: syntheticFleet(engines), Model: syntheticModel, Version: "2026-11-30", LoadedLayers: map[string]placement.Range{}}
	first, err := newDirective(in)
	assert.NilError(t, err)
	in.Current = first
	in.Fleet.Engines = in.Fleet.Engines[engines/8:]
	for _, e := range in.Fleet.Engines {
		in.LoadedLayers[e.Name], _ = first.AssignedRange(e.Name)
	}
	next, err = newDirective(in)
	assert.NilError(t, err)
	return first, next
}

func planRecordSize(t testing.TB, d *Directive) int {
	data, err := Encode(d)
	assert.NilError(t, err)
	record, err := configlog.NewPlan("0123456789ABCDEFGHIJKLMNOP", configlog.PlanProposal{Model: "sapphire-llm", Base: 1, Revision: 1, Data: data}).Encode()
	assert.NilError(t, err)
	return len(record)
}

// A decoded directive must equal the encoded one.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	first, next := replanAfterLoss(t, 40)
	next.Wanted[0].Version = "2026-10-01"
	for _, d := range []*Directive{first, next} {
		data, err := Encode(d)
		assert.NilError(t, err)
		decoded, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, d)
	}
}

// BenchmarkRecord measures encoding and decoding, and reports the sizes of the
// records of the first plan and of the one after the loss of an eighth of the
// engines.
func BenchmarkRecord(b *testing.B) {
	for _, engines := range []int{40, 344, 400, 3100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			first, next := replanAfterLoss(b, engines)
			b.ResetTimer()
			for range b.N {
				data, err := Encode(next)
				assert.NilError(b, err)
				_, err = Decode(data)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(planRecordSize(b, first)), "first-bytes")
			b.ReportMetric(float64(planRecordSize(b, next)), "replan-bytes")
		})
	}
}

// No data must make the decoder panic, and what it decodes must survive encoding
// and decoding again.
func FuzzDecode(f *testing.F) {
	data, err := Encode(&Directive{Version: "1", Wanted: []EngineAssignment{{Engine: "e", Range: placement.Range{Limit: 3}}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"gzip":"H4sIAAAAAAAA/w=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		data, err = Encode(d)
		assert.NilError(t, err)
		decoded, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, d)
	})
}
