package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// coreSet is a set of processor cores as the kernel takes it.
type coreSet [16]uint64

// startOnCore starts a command whose threads all run on one core, as on a machine of the
// platform. The set of cores is inherited from the thread that starts it.
func startOnCore(c *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one coreSet
	size, err := schedAffinity(syscall.SYS_SCHED_GETAFFINITY, len(before)*8, &before)
	if err != nil {
		return err
	}
	allowed := before.list()
	n := allowed[core%len(allowed)]
	one[n/64] = 1 << (n % 64)
	if _, err := schedAffinity(syscall.SYS_SCHED_SETAFFINITY, size, &one); err != nil {
		return err
	}
	err = c.Start()
	if _, restore := schedAffinity(syscall.SYS_SCHED_SETAFFINITY, size, &before); restore != nil {
		return restore
	}
	return err
}

// list returns the cores of the set.
func (s *coreSet) list() []int {
	var list []int
	for n := range len(s) * 64 {
		if s[n/64]&(1<<(n%64)) != 0 {
			list = append(list, n)
		}
	}
	return list
}

// schedAffinity calls the kernel for the calling thread, and returns the size of its set.
func schedAffinity(call uintptr, size int, set *coreSet) (int, error) {
	n, _, errno := syscall.RawSyscall(call, 0, uintptr(size), uintptr(unsafe.Pointer(set)))
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}
