package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a case, which are the exit codes of its script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration ends a case that hangs; scripts may take 120 s.
const maxDuration = 110 * time.Second

// scenario plays a case and reports whether the rule was broken. With trouble unset it
// leaves out the disruption.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"disk":   playDisk,
	"bodies": playBodies,
	"expire": playExpire,
	"forget": playForget,
	"clock":  playClock,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER; TROUBLE=0 leaves out the disruption")
		os.Exit(exitNotRun)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play scenario, folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	r := newRecord(file)
	defer r.close()
	r.notef("trouble %v", trouble)
	w, err := newWorld(r)
	if err != nil {
		r.notef("not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- result{broken, err}
	}()
	var res result
	select {
	case res = <-done:
	case <-time.After(maxDuration):
		res.err = errors.New("the case took too long")
	}
	switch {
	case res.err != nil:
		r.notef("not run: %v", res.err)
		return exitNotRun
	case res.broken:
		r.notef("result: the rule was broken")
		return exitBroken
	}
	r.notef("result: the rule held")
	return exitHeld
}
