package logservice

import (
	"context"
	"net/http"
	"strings"
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

// InstanceList is a client of the instance list. The list lags behind the actual
// state of the instances.
type InstanceList struct {
	baseURL string
	client  *http.Client
}

// NewInstanceList returns a client of the instance list at the base URL.
func NewInstanceList(base string, client *http.Client) *InstanceList {
	return &InstanceList{baseURL: strings.TrimSuffix(base, "/"), client: client}
}

// Instances fetches the list. The error wraps ErrUnavailable or ErrRejected.
func (l *InstanceList) Instances(ctx context.Context) ([]Instance, error) {
	var body struct {
		Instances []Instance `json:"instances"`
	}
	err := getJSON(ctx, l.client, l.baseURL+"/instances", 0, &body)
	return body.Instances, err
}
