package integration

import (
	"bufio"
	"os"
	"regexp"
	"strings"
	"testing"
)

// pageStep is one step of an operators' page. It is either a shell script from
// the page, or a directive to the test for an event outside of the operator's
// shell, such as the start of a VM.
type pageStep struct {
	lineNumber int
	// directive is the text of a comment "<!-- test: ... -->". It is empty if the
	// step is a script.
	directive     string
	script        string
	exitCode      int
	expectedTexts []string
}

var directiveLine = regexp.MustCompile(`^<!-- test: (.+) -->$`)

// readPage returns the steps of a page in order: its blocks marked sh, and its
// directives. The directives "exit N" and "shows TEXT" are no steps. They give the
// exit code (one digit) and a text in the output of the sh block that follows.
func readPage(t *testing.T, name string) (steps []pageStep) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	next, fence := pageStep{}, ""
	lineNumber := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		lineNumber++
		text := lines.Text()
		found := directiveLine.FindStringSubmatch(text)
		switch {
		case fence != "" && text == "```":
			if fence == "```sh" {
				steps = append(steps, next)
				next = pageStep{}
			}
			fence = ""
		case fence == "```sh":
			next.script += text + "\n"
		case fence != "":
		case strings.HasPrefix(text, "```"):
			fence, next.lineNumber = text, lineNumber
		case found != nil:
			steps = append(steps, next.addDirective(t, lineNumber, found[1])...)
		}
	}
	if fence != "" {
		t.Fatalf("%s: the last code block is not closed", name)
	}
	return steps
}

// addDirective records an exit or shows directive in s, the next script. It
// returns any other directive as a step of its own.
func (s *pageStep) addDirective(t *testing.T, line int, directive string) []pageStep {
	t.Helper()
	kind, argument, _ := strings.Cut(directive, " ")
	switch kind {
	case "exit":
		s.exitCode = int(argument[0] - '0')
	case "shows":
		s.expectedTexts = append(s.expectedTexts, argument)
	default:
		return []pageStep{{lineNumber: line, directive: directive}}
	}
	return nil
}
