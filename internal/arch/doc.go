// Package arch holds tests of the architecture: which package may import which,
// and what keeps decisions free of clocks, input and output.
package arch
