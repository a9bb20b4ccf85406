// Package sapphirefield is the root of a router for model pipelines on mixed
// accelerators. The programs are in cmd; docs/design.md describes the packages.
package sapphirefield
