// Package arch holds tests of the architecture: import restrictions between packages,
// and rules that keep decision packages free of clocks, input and output.
package arch
