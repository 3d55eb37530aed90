package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	File string `json:"file"`
	// Key is empty if the fault is in the file as a whole.
	Key string `json:"key"`
	// Value is what was found, or a placeholder for a secret.
	Value       string `json:"value"`
	Requirement string `json:"allowed"`
}

func (f Fault) String() string {
	if f.Key == "" { // the fault is in the file as a whole
		return f.File + ": " + f.Requirement
	}
	return fmt.Sprintf("%s: %s = %s: %s", f.File, f.Key, f.Value, f.Requirement)
}

// Load reads and checks the settings in a file. If there is any fault, the
// settings are nil. Relative names of secret files start at the file's folder.
func Load(path string) (*Settings, []Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Value: redacted, Requirement: "the file must be readable: " + err.Error()}}
	}
	return parse(path, text, os.ReadFile)
}

// parse reads settings from text. readFile reads the files of secrets.
func parse(path string, text []byte, readFile func(string) ([]byte, error)) (*Settings, []Fault) {
	l := loader{file: path, readFile: readFile, seen: make(map[string]bool)}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		l.syntaxFault(err)
		return nil, l.faults
	}
	s := l.decode(tree)
	l.check(s)
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	return s, nil
}

type loader struct {
	file     string
	readFile func(string) ([]byte, error)
	faults   []Fault
	seen     map[string]bool
}

// add records a fault. A key keeps its first fault only: the later ones follow
// from the default that took the place of the faulty value.
func (l *loader) add(key string, value any, allowed string) {
	if l.seen[key] {
		return
	}
	l.seen[key] = true
	shown := redacted
	if _, secret := value.(Secret); !secret {
		shown = fmt.Sprintf("%q", fmt.Sprint(value))
	}
	l.faults = append(l.faults, Fault{File: l.file, Key: key, Value: shown, Requirement: allowed})
}

func (l *loader) syntaxFault(err error) {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		l.add("", Secret(""), "must be a TOML document: "+err.Error())
		return
	}
	row, column := decode.Position()
	l.add(strings.Join(decode.Key(), "."), Secret(""),
		fmt.Sprintf("must be a TOML document; line %d, column %d: %s", row, column, decode.Error()))
}

// decode turns the tree into settings. The decoder stops at the first value of
// a wrong type, so that value is reported and removed, and the rest is decoded
// again until nothing is wrong.
func (l *loader) decode(tree map[string]any) *Settings {
	for {
		s := Defaults()
		faulty := l.decodeOnce(tree, &s)
		if len(faulty) == 0 {
			return &s
		}
		removed := false
		for _, key := range faulty {
			removed = remove(tree, key) || removed
		}
		if !removed {
			return &s
		}
	}
}

// decodeOnce decodes the tree and returns the keys that were faulty.
func (l *loader) decodeOnce(tree map[string]any, s *Settings) []toml.Key {
	text, err := toml.Marshal(tree)
	if err != nil {
		l.add("", Secret(""), "must be a TOML document: "+err.Error())
		return nil
	}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s)
	var unknown *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		keys := make([]toml.Key, len(unknown.Errors))
		for i := range unknown.Errors {
			keys[i] = unknown.Errors[i].Key()
			// The value may be a secret under a misspelled key.
			l.add(strings.Join(keys[i], "."), Secret(""), "unknown key; remove it or correct its name")
		}
		return keys
	case errors.As(err, &decode):
		l.typeFault(tree, decode.Key())
		return []toml.Key{decode.Key()}
	}
	l.add("", Secret(""), "must be a TOML document: "+err.Error())
	return nil
}

func (l *loader) typeFault(tree map[string]any, key toml.Key) {
	name := strings.Join(key, ".")
	var value any = Secret("")
	if !strings.Contains(name, "secret") && !strings.Contains(name, "token") {
		value = lookUp(tree, key)
	}
	l.add(name, value, "must be "+typeOf(key))
}

// lookUp returns a value that can be shown: one that is not inside a list.
func lookUp(tree map[string]any, key toml.Key) any {
	value, ok := tree[key[0]]
	if len(key) == 1 {
		if _, table := value.(map[string]any); table {
			return Secret("") // it may hold secrets
		}
		return value
	}
	if inner, isTable := value.(map[string]any); ok && isTable {
		return lookUp(inner, key[1:])
	}
	return Secret("")
}

// remove deletes a key, in each element of a list of tables.
func remove(node any, key toml.Key) bool {
	if len(key) == 0 {
		return false
	}
	switch n := node.(type) {
	case map[string]any:
		child, ok := n[key[0]]
		if ok && len(key) == 1 {
			delete(n, key[0])
			return true
		}
		return ok && remove(child, key[1:])
	case []any:
		removed := false
		for _, element := range n {
			removed = remove(element, key) || removed
		}
		return removed
	}
	return false
}

// secret returns the text of a secret that stands in the settings or in a file.
func (l *loader) secret(key string, inline Secret, file string) Secret {
	if (inline == "") == (file == "") {
		l.add(key, Secret(""), fmt.Sprintf("exactly one of %s and %s_file must be set", key, key))
		return ""
	}
	if file == "" {
		return inline
	}
	if !filepath.IsAbs(file) {
		file = filepath.Join(filepath.Dir(l.file), file)
	}
	data, err := l.readFile(file)
	if err != nil {
		l.add(key+"_file", file, "must name a readable file: "+err.Error())
		l.seen[key] = true // the missing secret is no fault of its own
		return ""
	}
	return Secret(strings.TrimSpace(string(data)))
}

// FaultsError reports all faults of a settings file, each on a line of its own.
// It is one error and not a chain of joined ones, because printing such a chain
// takes time that grows exponentially with its length.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
