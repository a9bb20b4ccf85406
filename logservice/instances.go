package logservice

import (
	"context"
	"net/http"
	"strings"
)

// InstanceState is an instance's state in the list.
type InstanceState string

// The states of instances.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is an IP number and port.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstanceList is a client of the instance list, which lags.
type InstanceList struct {
	base   string
	client *http.Client
}

// NewInstanceList returns a client of the instance list at a base URL.
func NewInstanceList(base string, client *http.Client) *InstanceList {
	return &InstanceList{base: strings.TrimSuffix(base, "/"), client: client}
}

// Instances returns the list. The error wraps ErrUnavailable or ErrRejected.
func (l *InstanceList) Instances(ctx context.Context) ([]Instance, error) {
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	err := getJSON(ctx, l.client, l.base+"/instances", 0, &answer)
	return answer.Instances, err
}
