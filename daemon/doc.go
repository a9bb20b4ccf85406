// Package daemon joins the parts of one sapphired process: settings, logs, the
// operators' listener, the configuration, and the role of entry or sidecar.
package daemon
