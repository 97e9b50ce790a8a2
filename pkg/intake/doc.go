// Package intake accounts for what callers hold in a process: connections, headers, bodies
// and answers. The account decides who is admitted, who is refused and whose connection ends.
// It has no I/O and no clock; the current time is an argument of each call.
package intake
