// Package routes reads and checks the configurations of a fleet of routes, makes the record that puts one in force,
// and remembers which ones were accepted.
//
// A configuration is put whole, with a version above the newest one and the version that it was based on. Whoever got
// no answer may put it again: Recall says whether it was accepted. The package has no state and does no input or
// output. The leader calls it on the control plane's goroutine; Read is also called where operators' requests arrive.
package routes
