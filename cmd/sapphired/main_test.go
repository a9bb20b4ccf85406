package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testdata = "../../settings/testdata/"

// Guards against a settings check that stops at the first finding, omits its
// position, or exits with the code for valid settings.
func TestCheckSettings(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, run([]string{"-check-settings", "-settings", testdata + "entry.yaml"}, nil, &stdout, &stderr), 0)
	assert.Equal(t, stdout.String(), "settings are valid\n")

	stdout.Reset()
	assert.Equal(t, run([]string{"-check-settings", "-settings", testdata + "broken.yaml"}, nil, &stdout, &stderr), exitSettings)
	assert.Equal(t, stdout.String(), "")
	places := []string{
		"2:5: id: ", "4:1: region: ", "7:10: listen.peers: ", "8:14: listen.operators: ", "9:3: listen.console: ",
		"11:8: platform.log: ", "14:12: backend.address: ", "17:12: backend.service: ", "18:30: backend.layers.limit: ",
		"22:13: limits.max_body: ", "23:10: limits.drain: ", "24:10: limits.notice: ",
	}
	lines := strings.Split(strings.TrimSpace(stderr.String()), "\n")
	assert.Equal(t, len(lines), len(places), stderr.String())
	for i, place := range places {
		assert.Assert(t, strings.HasPrefix(lines[i], testdata+"broken.yaml:"+place), lines[i])
	}

	stderr.Reset()
	assert.Equal(t, run([]string{"-settings", "missing.yaml"}, nil, &stdout, &stderr), exitSettings)
	assert.Assert(t, strings.Contains(stderr.String(), "missing.yaml"))
}
