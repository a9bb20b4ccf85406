// Package daemon assembles a sapphired process: settings, logging, the operator
// listener, configuration sync, and the role of entry or sidecar.
package daemon
