package logservice

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/jsonscan"
)

// InstanceState is the state of an instance in the list.
type InstanceState string

// Instance states.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is an IP address and port.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// check returns why an entry names no instance that can be used, or nil.
func (i Instance) check() error {
	address, err := netip.ParseAddrPort(i.Address)
	switch {
	case i.ID == "":
		return errors.New("it has no id")
	case err != nil:
		return errors.Wrap(err, "address")
	case address.Port() == 0:
		return errors.Errorf("address %s has no port", i.Address)
	case i.State != Live && i.State != Leaving:
		return errors.Errorf("unknown state %q", i.State)
	}
	return nil
}

// InstanceList is a client of the instance list. The list lags behind the actual
// state of the instances.
type InstanceList struct {
	baseURL string
	client  *http.Client
	// onUnusable is called for each entry that names no instance, when it is first seen.
	onUnusable func(error)
	mu         sync.Mutex
	// reported are the hashes of unusable entries that were reported.
	reported map[uint64]bool
}

const (
	// maxReportedEntries bounds the unusable entries that are remembered.
	maxReportedEntries = 256
	// maxEntryText bounds what a report shows of an entry.
	maxEntryText = 200
	instancesKey = "instances"
)

// NewInstanceList returns a client of the instance list at the base URL. onUnusable is
// called for entries that name no instance, which programs other than the platform may
// have left in the list.
func NewInstanceList(base string, client *http.Client, onUnusable func(error)) *InstanceList {
	return &InstanceList{baseURL: strings.TrimSuffix(base, "/"), client: client, onUnusable: onUnusable, reported: map[uint64]bool{}}
}

// Instances fetches the list. An entry that cannot be read hides no other one. The error
// wraps ErrUnavailable or ErrRejected.
func (l *InstanceList) Instances(ctx context.Context) ([]Instance, error) {
	body, err := get(ctx, l.client, l.baseURL+"/instances", 0)
	if err != nil {
		return nil, err
	}
	rest, texts, ok := jsonscan.CutList(body, instancesKey)
	if !ok {
		rest = body
	}
	var document struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(rest, &document); err != nil {
		return nil, errors.Wrap(ErrUnavailable, "answer: "+err.Error())
	}
	if !ok {
		return document.Instances, nil
	}
	instances := make([]Instance, 0, len(texts))
	for _, text := range texts {
		var instance Instance
		err := json.Unmarshal(text, &instance)
		if err == nil {
			err = instance.check()
		}
		if err != nil {
			l.report(text, err)
			continue
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// report reports an unusable entry once.
func (l *InstanceList) report(text []byte, err error) {
	hash := xxhash.Sum64(text)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported[hash] {
		return
	}
	if len(l.reported) >= maxReportedEntries {
		clear(l.reported)
	}
	l.reported[hash] = true
	l.onUnusable(errors.Wrapf(err, "entry %s", text[:min(len(text), maxEntryText)]))
}
