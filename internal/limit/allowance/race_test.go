//go:build race

package allowance_test

import "runtime"

// The race detector of Go 1.26.8 crashes (SIGSEGV or a failed check in
// tsan_rtl.cpp) when the timers of a synctest bubble run on several processors.
// On one processor it is stable and still tracks every happens-before edge.
func init() { runtime.GOMAXPROCS(1) }
