// Package catalog reads and checks the configurations of a fleet of entries, and makes the record that puts one in force.
//
// A configuration is put whole and names the version that it was based on; of two on one base the first is accepted.
// The package has no state and does no input or output. The leader calls it on the control plane's goroutine.
package catalog
