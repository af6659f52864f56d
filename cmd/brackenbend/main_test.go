package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"brackenbend/internal/gateway"
)

// Environment variables by which the test binary runs as another program; see TestMain.
const (
	mainEnv     = "BRACKENBEND_TEST_MAIN"     // 1: run as brackenbend
	mutationEnv = "BRACKENBEND_TEST_MUTATION" // with mainEnv: name of the mutation that the gateway has
)

// brackenbendEnv is added to the environment of the test binary to run it as brackenbend.
var brackenbendEnv = []string{mainEnv + "=1"}

// TestMain runs the test binary as brackenbend, as a reference proxy or as a fake engine if the environment says so, so
// that tests can start these programs as processes.
func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) == "1" {
		if name := os.Getenv(mutationEnv); name != "" {
			gateway.Hooks = mutations[name].hooks
		}
		os.Exit(run(os.Args[1:]))
	}
	if fields := strings.Fields(os.Getenv(proxyEnv)); len(fields) == 3 {
		os.Exit(proxyMain(fields[0], fields[1], fields[2]))
	}
	if fields := strings.Fields(os.Getenv(engineEnv)); len(fields) == 3 {
		os.Exit(fakeEngineMain(fields[0], fields[1], fields[2]))
	}
	os.Exit(m.Run())
}

// commandName returns a command line with its files reduced to their base names, so that test names do not depend on
// the machine.
func commandName(args []string) string {
	var names []string
	for _, arg := range args {
		names = append(names, filepath.Base(arg))
	}
	return strings.Join(names, " ")
}

func TestExitCodes(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "bad.xml")
	if err := os.WriteFile(invalidFile, []byte("<brackenbend/>"), 0o644); err != nil {
		t.Fatal(err)
	}
	const (
		stall    = "../../scenarios/stall.xml"
		settings = "../../deploy/examples/front.xml"
	)
	outFile := func(name string) string { return filepath.Join(t.TempDir(), name) }
	splitArgs := func(parts ...string) []string { return strings.Fields(strings.Join(parts, " ")) }
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"check", settings}, 0},
		{[]string{"check", invalidFile}, exitConfig},
		{[]string{"check", "none.xml"}, exitFailure},
		{[]string{"check"}, exitUsage},
		{[]string{"serve", "--nonsense"}, exitUsage},
		{[]string{"day", invalidFile}, exitConfig},
		{[]string{"engine", "--role", "invalid"}, exitUsage},
		{[]string{"lab", "day", stall, "--seconds", "5"}, 0},
		{[]string{"lab", "day", invalidFile}, exitConfig},
		{[]string{"lab", "forecast", stall, "--runs", "2"}, exitUsage},
		{splitArgs("compare choice routing --batch 3 --most 3 --traffic", stall, "--html", outFile("x.html")), 0},
		// the other version is this program
		{splitArgs("compare choice", os.Args[0], "--batch 3 --most 3 --traffic", stall), 0},
		{[]string{"compare", "choice", invalidFile}, exitConfig},
		{splitArgs("lab hunt", stall, "--rounds 1 --draws 4 --troubles 1 -o", outFile("x.xml")), 0},
		{splitArgs("simulate fault-search", stall, "--rounds 1 --draws 4 --troubles 1 -o", outFile("y.xml")), 0},
		{splitArgs("simulate scenario", stall, "--seconds 5"), 0},
		{splitArgs("scenario", invalidFile), exitConfig},
		{[]string{"lab", "fit", invalidFile}, exitConfig},
		{[]string{"compare", "choice", settings}, exitFailure}, // its classes are not those of the scenario
	} {
		t.Run(commandName(c.args), func(t *testing.T) {
			cmd := exec.Command(os.Args[0], c.args...)
			cmd.Env = append(os.Environ(), brackenbendEnv...)
			out, _ := cmd.CombinedOutput()
			if got := cmd.ProcessState.ExitCode(); got != c.code {
				t.Errorf("exit code %d, want %d: %s", got, c.code, out)
			}
		})
	}
}
