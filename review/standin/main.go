// Command standin plays the clients, engines and platform of one case of the review against the project's node. It exits
// with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// environment is what a case needs to run.
type environment struct {
	root    string // of the repository
	run     string // the deploy file's command for one node
	tempDir string
	trouble bool
	rec     *record
}

// cases returns whether the rule held, with a line that says why.
var cases = map[string]func(env *environment) (held bool, summary string, err error){
	"spoilt-stream": spoiltStream,
	"restart":       restart,
	"nested":        nested,
}

func main() {
	runtime.LockOSThread() // the nodes are ended with the thread that started them
	env := &environment{trouble: os.Getenv("TROUBLE") != "0"}
	name := flag.String("case", "", "case to play")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&env.root, "root", ".", "root of the repository")
	flag.StringVar(&env.run, "run", "", "the deploy file's run command")
	flag.Parse()
	os.Exit(play(env, *name, *recordFile))
}

func play(env *environment, name, recordFile string) int {
	function := cases[name]
	if function == nil || env.run == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no run command")
		return 2
	}
	var err error
	if env.rec, err = newRecord(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if env.tempDir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(env.tempDir) }()
	env.rec.add("case %s, disruption %v", name, env.trouble)
	held, summary, err := function(env)
	if err != nil {
		env.rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	verdict, code := "the rule held", 0
	if !held {
		verdict, code = "the rule was broken", 1
	}
	env.rec.add("%s: %s", verdict, summary)
	fmt.Printf("%s: %s\n", verdict, summary)
	return code
}
