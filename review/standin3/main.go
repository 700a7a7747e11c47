package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun is when a case is given up, so that its processes end within 120 s.
const maxRun = 112 * time.Second

// current is the fleet that runs.
var current *fleet

// cases are the scripts of the review. Each returns whether the rule held.
var cases = map[string]func(rec *recorder, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) (code int) {
	w, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.Close()
	rec := &recorder{w: w, start: time.Now()}
	defer func() {
		if e := recover(); e != nil {
			c, ok := e.(errCannotRun)
			if !ok {
				panic(e)
			}
			rec.logf("the case couldn't run: %v", c)
			fmt.Fprintln(os.Stderr, c)
			code = 2
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxRun):
		}
		rec.logf("the case was stopped")
		if current != nil {
			current.killAll()
		}
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %t", name, trouble)
	if cases[name](rec, trouble) {
		rec.logf("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	rec.logf("THE RULE WAS BROKEN")
	fmt.Println("the rule was broken")
	return 1
}
