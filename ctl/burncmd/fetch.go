package burncmd

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/burn"
)

const (
	// maxFetches bounds the connections at one time; a fleet has 400 entries.
	maxFetches = 32
	// maxExportBytes bounds one answer: an objective takes at most about 20 KB.
	maxExportBytes = 64 << 20
)

// all reads the exports of all processes and keeps the failures apart, because
// a report of the others is better than none.
func (f *fetcher) all(ctx context.Context, urls []string) ([]burn.Export, []error) {
	exports := make([]*burn.Export, len(urls))
	failures := make([]error, len(urls))
	var group errgroup.Group
	group.SetLimit(maxFetches)
	for i, url := range urls {
		group.Go(func() error {
			exports[i], failures[i] = f.one(ctx, url)
			return nil
		})
	}
	_ = group.Wait()
	return present(exports, failures)
}

func present(exports []*burn.Export, failures []error) ([]burn.Export, []error) {
	var good []burn.Export
	var bad []error
	for i := range exports {
		if failures[i] != nil {
			bad = append(bad, failures[i])
			continue
		}
		good = append(good, *exports[i])
	}
	return good, bad
}

func (f *fetcher) one(ctx context.Context, url string) (*burn.Export, error) {
	data, err := f.client.Get(ctx, url, "/burn", maxExportBytes)
	if err != nil {
		return nil, err
	}
	export, err := burn.Decode(data)
	if err != nil {
		return nil, errors.Wrap(err, url)
	}
	return &export, nil
}
