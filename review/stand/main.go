// Command review plays the cases of this folder that are scripts.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the name of a case to its function. trouble is false for the control run.
var cases = map[string]func(program string, trouble bool) (*record, error){
	"early-answer":    earlyAnswer,
	"stop-under-load": stopUnderLoad,
	"second-sigterm":  secondSIGTERM,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	path, err := program()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	killOnSignal()
	r, err := cases[os.Args[1]](path, os.Getenv("TROUBLE") != "0")
	if r != nil {
		if err != nil {
			r.addf("verdict: %v", err)
		} else {
			r.addf("verdict: the rule held")
		}
		if err := r.save(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
	}
	switch {
	case err == nil:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(exitBroken)
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(exitNotRun)
}
