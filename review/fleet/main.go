package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-fleet CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*record, bool) int{"orphaned-jobs": runOrphanedJobs, "smuggling": runSmuggling, "nested-ids": runNestedIDs}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", os.Args[1], trouble)
	code := run(rec, trouble)
	rec.add("exit %d", code)
	fmt.Println(map[int]string{exitHeld: "held", exitBroken: "BROKEN", exitNotRun: "could not run"}[code])
	os.Exit(code)
}
