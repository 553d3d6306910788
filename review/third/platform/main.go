// Command third plays the scripted cases of the third review against the project's programs.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// cases are the scripted cases by name.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"epochs":  epochsCase,
	"removed": removedCase,
	"returns": returnsCase,
	"service": serviceCase,
}

func main() {
	name := flag.String("case", "", "`NAME` of the case")
	root := flag.String("root", ".", "`FOLDER` of the repository")
	folder := flag.String("folder", ".", "`FOLDER` for record.txt")
	flag.Parse()
	os.Exit(run(*name, *root, *folder))
}

func run(name, root, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q does not exist\n", name)
		return exitCouldNotRun
	}
	d, err := newDeployment(root, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer d.close()
	if err = d.addEntries(2); err == nil {
		var broken bool
		broken, err = play(d, os.Getenv("TROUBLE") != "0")
		if broken {
			fmt.Println("the rule was broken; see record.txt")
			return exitBroken
		}
	}
	if err != nil {
		d.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	d.record.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
