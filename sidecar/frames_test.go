package sidecar

import (
	"bytes"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Tests that queued steps share a frame, and that an activation larger than a
// frame is split into parts that arrive in order.
func TestHopFrames(t *testing.T) {
	large := bytes.Repeat([]byte{1, 2, 3}, maxFrameActivationBytes)
	queued := []*wire.HopFrame{
		{Steps: []*wire.Step{{Request: "a", Activation: []byte{1}}}},
		{Steps: []*wire.Step{{Request: "b", Activation: []byte{2}}}, Tokens: []*wire.Token{{Request: "t"}}},
		{Steps: []*wire.Step{{Request: "c", Activation: large}}},
		{Steps: []*wire.Step{{Request: "d", Activation: []byte{4}}}},
	}
	frames := hopFrames("s", queued)
	assert.Equal(t, len(frames[0].Steps), 2)
	assert.Equal(t, len(frames[0].Tokens), 1)
	var joined []byte
	var order []string
	for _, frame := range frames {
		assert.Assert(t, frameBytes(frame) <= maxFrameActivationBytes)
		for _, step := range frame.Steps {
			if step.Request == "c" {
				joined = append(joined, step.Activation...)
			}
			if !step.More {
				order = append(order, step.Request)
			}
		}
	}
	assert.Assert(t, bytes.Equal(joined, large))
	assert.DeepEqual(t, order, []string{"a", "b", "c", "d"})
}

// Tests that token frames are merged only if no other frame lies between them.
func TestMergeTokens(t *testing.T) {
	refused := &wire.WorkDown{Body: &wire.WorkDown_Refused{Refused: &wire.Refused{}}}
	merged := mergeTokens([]*wire.WorkDown{
		tokensFrame(&wire.Token{Index: 0}), tokensFrame(&wire.Token{Index: 1}), refused, tokensFrame(&wire.Token{Index: 2}),
	})
	assert.Equal(t, len(merged), 3)
	assert.Equal(t, len(merged[0].GetTokens().Tokens), 2)
	assert.Equal(t, merged[1], refused)
	assert.Equal(t, merged[2].GetTokens().Tokens[0].Index, uint32(2))
}
