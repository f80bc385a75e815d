package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // The rule held.
	exitBroken = 1 // The rule was broken.
	exitNotRun = 2 // The case could not run.
)

// longestPlay bounds the time of a case.
const longestPlay = 110 * time.Second

// cases are the plays by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"reborn":   playReborn,
	"foreign":  playForeign,
	"numbered": playNumbered,
}

func main() {
	// The kernel ends the processes of a case with the thread that started them; see endWithParent.
	runtime.LockOSThread()
	os.Exit(run(os.Args[1:]))
}

// run plays a case: standin-3 CASE FOLDER, in the root of the repository. The case writes its
// record into the folder. TROUBLE=0 leaves out the disruption.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return exitNotRun
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return exitNotRun
	}
	defer w.close()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case <-ended:
		case <-time.After(longestPlay):
		}
		w.note("the case was ended, or took too long")
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("RESULT: the rule was broken")
		return exitBroken
	}
	w.note("RESULT: the rule held")
	return exitHeld
}
