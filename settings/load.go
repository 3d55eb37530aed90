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

// Fault is one error in a settings file.
type Fault struct {
	File string `json:"file"`
	// Key is the faulty key with its tables, for instance "vm.id". It is empty if
	// the fault concerns the whole file.
	Key string `json:"key"`
	// Value is the quoted value of the key, or a placeholder if the value is or may
	// be a secret.
	Value string `json:"value"`
	// Requirement says which values are allowed, for instance "must be unique".
	Requirement string `json:"allowed"`
}

// String returns the fault as one line of text, without the key and the value if
// the fault concerns the whole file.
func (f Fault) String() string {
	if f.Key == "" {
		return f.File + ": " + f.Requirement
	}
	return fmt.Sprintf("%s: %s = %s: %s", f.File, f.Key, f.Value, f.Requirement)
}

// Load reads and checks the settings file at path. It returns either the settings
// or the faults of the file. Relative names of secret files are resolved against
// the folder of the settings file.
func Load(path string) (*Settings, []Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{File: path, Value: redactedText, Requirement: "the file must be readable: " + err.Error()}}
	}
	return parse(path, text, os.ReadFile)
}

// parse decodes and checks settings from text. It uses readFile to read the files
// of secrets, and path only to resolve their names and in faults.
func parse(path string, text []byte, readFile func(string) ([]byte, error)) (*Settings, []Fault) {
	l := loader{file: path, readFile: readFile, faultyKeys: make(map[string]bool)}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		l.addSyntaxFault(err)
		return nil, l.faults
	}
	s := l.decode(tree)
	l.check(s)
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	return s, nil
}

// loader decodes and checks one settings file and collects its faults.
type loader struct {
	file       string
	readFile   func(string) ([]byte, error)
	faults     []Fault
	faultyKeys map[string]bool
}

// addFault records a fault, unless the key has one already. Later faults of a key
// are misleading: they concern the default that replaced the faulty value. A value
// of type Secret is not shown.
func (l *loader) addFault(key string, value any, requirement string) {
	if l.faultyKeys[key] {
		return
	}
	l.faultyKeys[key] = true
	shown := redactedText
	if _, isSecret := value.(Secret); !isSecret {
		shown = fmt.Sprintf("%q", fmt.Sprint(value))
	}
	l.faults = append(l.faults, Fault{File: l.file, Key: key, Value: shown, Requirement: requirement})
}

// addSyntaxFault records that the file is not a TOML document, with the position of
// the error if the decoder names one.
func (l *loader) addSyntaxFault(err error) {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		l.addFault("", Secret(""), "must be a TOML document: "+err.Error())
		return
	}
	row, column := decode.Position()
	l.addFault(strings.Join(decode.Key(), "."), Secret(""),
		fmt.Sprintf("must be a TOML document; line %d, column %d: %s", row, column, decode.Error()))
}

// decode decodes the tree into settings and records faults of keys and types. The
// decoder stops at the first value of a wrong type. To find all faults, decode
// removes that value from the tree and decodes the rest again, until the decoder
// finds no fault.
func (l *loader) decode(tree map[string]any) *Settings {
	for {
		s := Defaults()
		faulty := l.decodeOnce(tree, &s)
		if len(faulty) == 0 {
			return &s
		}
		removed := false
		for _, key := range faulty {
			removed = removeKey(tree, key) || removed
		}
		if !removed {
			return &s
		}
	}
}

// decodeOnce decodes the tree into s once. It records the faults that the decoder
// reports and returns their keys.
func (l *loader) decodeOnce(tree map[string]any, s *Settings) []toml.Key {
	text, err := toml.Marshal(tree)
	if err != nil {
		l.addFault("", Secret(""), "must be a TOML document: "+err.Error())
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
			// The value is not shown, because the key may be the misspelled key of a
			// secret.
			l.addFault(strings.Join(keys[i], "."), Secret(""), "unknown key; remove it or correct its name")
		}
		return keys
	case errors.As(err, &decode):
		l.addTypeFault(tree, decode.Key())
		return []toml.Key{decode.Key()}
	}
	l.addFault("", Secret(""), "must be a TOML document: "+err.Error())
	return nil
}

// addTypeFault records that the value of a key has the wrong type. The value is not
// shown if the key may be that of a secret or a token.
func (l *loader) addTypeFault(tree map[string]any, key toml.Key) {
	name := strings.Join(key, ".")
	var value any = Secret("")
	if !strings.Contains(name, "secret") && !strings.Contains(name, "token") {
		value = lookUp(tree, key)
	}
	l.addFault(name, value, "must be "+describeType(key))
}

// lookUp returns the value of a key to show in a fault. It returns a placeholder
// for tables and for values inside lists.
func lookUp(tree map[string]any, key toml.Key) any {
	value, ok := tree[key[0]]
	if len(key) == 1 {
		if _, table := value.(map[string]any); table {
			return Secret("") // the table may contain secrets
		}
		return value
	}
	if inner, isTable := value.(map[string]any); ok && isTable {
		return lookUp(inner, key[1:])
	}
	return Secret("")
}

// removeKey deletes a key from a tree of tables and reports whether it existed. In
// a list of tables, it deletes the key from each element.
func removeKey(node any, key toml.Key) bool {
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
		return ok && removeKey(child, key[1:])
	case []any:
		removed := false
		for _, element := range n {
			removed = removeKey(element, key) || removed
		}
		return removed
	}
	return false
}

// resolveSecret returns a secret from its inline value or, without the surrounding
// white space, from a file. Exactly one of the two must be set.
func (l *loader) resolveSecret(key string, inline Secret, file string) Secret {
	if (inline == "") == (file == "") {
		l.addFault(key, Secret(""), fmt.Sprintf("exactly one of %s and %s_file must be set", key, key))
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
		l.addFault(key+"_file", file, "must name a readable file: "+err.Error())
		l.faultyKeys[key] = true // suppresses a second fault for the empty secret
		return ""
	}
	return Secret(strings.TrimSpace(string(data)))
}

// FaultsError is the error of a settings file with faults. Its text has one line
// for each fault. It is a single error instead of a chain of joined errors, because
// the time for printing such a chain grows exponentially with its length.
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
