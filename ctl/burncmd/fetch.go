package burncmd

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sapphirefield/sapphirefield/burn"
)

const (
	// maxConcurrentFetches limits the number of concurrent connections; a deployment
	// has 400 entries.
	maxConcurrentFetches = 32
	// maxExportBytes limits the size of one response; an objective takes at most
	// about 20 KB.
	maxExportBytes = 64 << 20
)

// fetchAll requests the exports of all processes. It returns failures separately,
// because a report on the other processes is better than none.
func (f *fetcher) fetchAll(ctx context.Context, urls []string) ([]burn.Export, []error) {
	exports := make([]*burn.Export, len(urls))
	failures := make([]error, len(urls))
	var group errgroup.Group
	group.SetLimit(maxConcurrentFetches)
	for i, url := range urls {
		group.Go(func() error {
			exports[i], failures[i] = f.fetch(ctx, url)
			return nil
		})
	}
	_ = group.Wait()
	return splitResults(exports, failures)
}

// splitResults separates the exports from the failures.
func splitResults(exports []*burn.Export, failures []error) ([]burn.Export, []error) {
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

func (f *fetcher) fetch(ctx context.Context, url string) (*burn.Export, error) {
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
