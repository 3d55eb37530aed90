package integration

import (
	"bufio"
	"os"
	"regexp"
	"strings"
	"testing"
)

// step is one thing that a page has the test do: run a block, or a directive
// that stands for what happens outside of the operator's shell.
type step struct {
	line int
	// directive is the text of a comment "<!-- test: ... -->".
	directive string
	script    string
	exit      int
	shows     []string
}

var directiveLine = regexp.MustCompile(`^<!-- test: (.+) -->$`)

// readPage returns the steps of a page: its sh blocks and its directives. The
// directives "exit N" and "shows TEXT" belong to the block that follows.
func readPage(t *testing.T, name string) (steps []step) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	next, fence := step{}, ""
	number := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		number++
		text := lines.Text()
		found := directiveLine.FindStringSubmatch(text)
		switch {
		case fence != "" && text == "```":
			if fence == "```sh" {
				steps = append(steps, next)
				next = step{}
			}
			fence = ""
		case fence == "```sh":
			next.script += text + "\n"
		case fence != "":
		case strings.HasPrefix(text, "```"):
			fence, next.line = text, number
		case found != nil:
			steps = append(steps, next.add(t, number, found[1])...)
		}
	}
	if fence != "" {
		t.Fatalf("%s: the last block does not end", name)
	}
	return steps
}

// add takes in a directive for the next block, or returns it as a step.
func (s *step) add(t *testing.T, line int, directive string) []step {
	t.Helper()
	verb, rest, _ := strings.Cut(directive, " ")
	switch verb {
	case "exit":
		s.exit = int(rest[0] - '0')
	case "shows":
		s.shows = append(s.shows, rest)
	default:
		return []step{{line: line, directive: directive}}
	}
	return nil
}
