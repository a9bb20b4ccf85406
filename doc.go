// Package sapphirefield is the root of a router for model pipelines across
// different kinds of accelerators. The programs are in cmd; docs/design.md
// describes the packages.
package sapphirefield
