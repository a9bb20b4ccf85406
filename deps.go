//go:build deps

// Package sapphirefield pins modules until their first use.
package sapphirefield

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/peterbourgon/ff/v3/ffyaml"
	_ "github.com/phuslu/log"
	_ "github.com/pkg/errors"
	_ "github.com/rcrowley/go-metrics"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/graph/network"
	_ "gonum.org/v1/gonum/graph/simple"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gopkg.in/yaml.v3"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmetadata"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcpool"
	_ "storj.io/drpc/drpcserver"
)
