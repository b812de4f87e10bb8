// Package settings loads and validates the settings of the programs from INI files and
// environment variables. Each setting is declared once, with its type, default, bounds
// and meaning.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"tarragonshore.example/tarragonshore/internal/version/strictini"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Reason is the kind of an error in the settings.
type Reason string

const (
	ReasonFile           Reason = "unreadable-file"
	ReasonSyntax         Reason = "syntax"
	ReasonUnknownSection Reason = "unknown-section"
	ReasonUnknownKey     Reason = "unknown-key"
	ReasonDuplicate      Reason = "duplicate"
	ReasonMissing        Reason = "missing"
	ReasonBadValue       Reason = "bad-value"
)

// Error describes one error in the settings.
type Error struct {
	Reason  Reason
	File    string // path of the file, "environment variable NAME", or "settings" without a file
	Section string
	Key     string
	Value   string
	Remedy  string
}

// Error returns one line with the file, section, key, value and remedy.
func (e *Error) Error() string {
	text := e.File
	if e.Section != "" {
		text += ", section [" + e.Section + "]"
	}
	if e.Key != "" {
		text += ", key " + e.Key
	}
	text += ": " + string(e.Reason)
	if e.Value != "" {
		text += " " + strconv.Quote(e.Value)
	}
	return text + "; remedy: " + e.Remedy
}

// Errors holds all errors found in the settings.
type Errors []*Error

// Error returns one line per error.
func (e Errors) Error() string { return strictini.JoinMessages(e) }

// Unwrap returns the errors for errors.As.
func (e Errors) Unwrap() []error { return strictini.AsErrors(e) }

// Setting declares one setting.
type Setting struct {
	Section string
	Key     string
	Type    string
	// Default is the value of an absent setting, as text. It is empty if Required is
	// true.
	Default  string
	Required bool
	// Bounds describes the valid values, worded so that a remedy can be "use " + Bounds.
	Bounds string
	// Help describes the setting and the cost of larger and smaller values.
	Help string

	// set parses and stores the value, and reports whether it is valid.
	set func(value string) bool
}

// Variable returns the environment variable that overrides the setting.
func (s *Setting) Variable() string {
	return variablePrefix + strings.ToUpper(s.Section+"_"+s.Key)
}

const variablePrefix = "TARRAGON_"

// Set is the list of settings of one program. Load stores their values in a struct.
type Set struct {
	Settings []Setting
	// check returns errors in the combination of settings. It runs only if each
	// setting is valid. It may be nil.
	check func() []Error
}

// Load reads the file, if path is not empty, and then the environment ("NAME=value"
// items, as from os.Environ), and validates and stores the values. The error is of type
// Errors and holds all errors found.
func (s *Set) Load(path string, environment []string) error {
	l := loader{set: s, values: map[*Setting]value{}}
	if path != "" {
		l.readFile(path)
	}
	l.readEnvironment(environment)
	l.storeValues(path)
	if len(l.errs) == 0 && s.check != nil {
		for _, e := range s.check() {
			e.File = sourceName(path)
			l.errs = append(l.errs, &e)
		}
	}
	if len(l.errs) > 0 {
		return l.errs
	}
	return nil
}

func (s *Set) find(section, key string) *Setting {
	i := slices.IndexFunc(s.Settings, func(x Setting) bool { return x.Section == section && x.Key == key })
	if i < 0 {
		return nil
	}
	return &s.Settings[i]
}

// keys returns the keys of a section, or the names of all sections if section is "". A
// section that does not exist has no keys.
func (s *Set) keys(section string) []string {
	var list []string
	for _, x := range s.Settings {
		name := x.Key
		if section == "" {
			name = x.Section
		} else if x.Section != section {
			continue
		}
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

func sourceName(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// value is the text given for a setting, with the file or environment variable that it
// comes from.
type value struct{ text, source string }

// loader collects the values given for the settings of a set, and the errors found.
type loader struct {
	set    *Set
	values map[*Setting]value
	errs   Errors
}

func (l *loader) addError(reason Reason, file, section, key, value, remedy string) {
	l.errs = append(l.errs, &Error{Reason: reason, File: file, Section: section, Key: key, Value: value, Remedy: remedy})
}

func (l *loader) readFile(path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		l.addError(ReasonFile, path, "", "", err.Error(), "give the path of a readable INI file")
		return
	}
	sections, err := strictini.Load(text)
	if err != nil {
		l.addError(ReasonSyntax, path, "", "", err.Error(), "correct the INI syntax: '[section]', then lines 'key = value'")
		return
	}
	seen := map[string]bool{}
	for _, section := range sections {
		l.readSection(path, section, seen)
	}
}

func (l *loader) readSection(path string, section *ini.Section, seen map[string]bool) {
	name := section.Name()
	known := l.set.keys(name)
	switch {
	case len(known) == 0:
		l.addError(ReasonUnknownSection, path, name, "", "", "use one of: "+strings.Join(l.set.keys(""), ", "))
		return
	case seen[name]:
		l.addError(ReasonDuplicate, path, name, "", "", "merge the sections with this name")
	}
	seen[name] = true
	for _, key := range section.Keys() {
		setting := l.set.find(name, key.Name())
		if setting == nil {
			l.addError(ReasonUnknownKey, path, name, key.Name(), key.Value(), "use one of: "+strings.Join(known, ", "))
			continue
		}
		if len(key.ValueWithShadows()) > 1 {
			l.addError(ReasonDuplicate, path, name, key.Name(), strings.Join(key.ValueWithShadows(), " | "), "keep one of the lines")
		}
		l.values[setting] = value{key.Value(), path}
	}
}

// readEnvironment reads the values that environment variables override. A variable whose
// name begins with that of one of the set's sections, but that names no setting of this
// set, of tarragond or of tarragonctl, is an error, since it is probably misspelt.
func (l *loader) readEnvironment(items []string) {
	otherPrograms := slices.Concat(daemonSet(&Daemon{}).Settings, tarragonctlSet(&Tarragonctl{}).Settings)
	for _, item := range items {
		name, text, _ := strings.Cut(item, "=")
		if !strings.HasPrefix(name, variablePrefix) {
			continue
		}
		byName := func(x Setting) bool { return x.Variable() == name }
		if i := slices.IndexFunc(l.set.Settings, byName); i >= 0 {
			l.values[&l.set.Settings[i]] = value{text, "environment variable " + name}
			continue
		}
		for _, section := range l.set.keys("") {
			if strings.HasPrefix(name, variablePrefix+strings.ToUpper(section)+"_") && !slices.ContainsFunc(otherPrograms, byName) {
				l.addError(ReasonUnknownKey, "environment variable "+name, section, "", text, "use "+variablePrefix+strings.ToUpper(section)+"_ with one of: "+strings.Join(l.set.keys(section), ", "))
			}
		}
	}
}

// storeValues validates and stores the values, or the defaults of absent ones.
func (l *loader) storeValues(path string) {
	for i := range l.set.Settings {
		s := &l.set.Settings[i]
		v, given := l.values[s]
		switch {
		case !given && s.Required:
			l.addError(ReasonMissing, sourceName(path), s.Section, s.Key, "", "add '"+s.Key+" = ...' to section ["+s.Section+"] or set "+s.Variable()+"; use "+s.Bounds)
		case !given:
			if !s.set(s.Default) {
				panic("default of " + s.Section + "." + s.Key + " is not valid") // an error in the declaration
			}
		case !s.set(v.text):
			l.addError(ReasonBadValue, v.source, s.Section, s.Key, v.text, "use "+s.Bounds)
		}
	}
}

// Reference returns the settings as a Markdown table.
func (s *Set) Reference() string {
	var b strings.Builder
	b.WriteString("| section | key | type | default | values | meaning | environment |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, x := range s.Settings {
		def := "`" + x.Default + "`"
		switch {
		case x.Required:
			def = "required"
		case x.Default == "":
			def = "none"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s | %s | `%s` |\n", x.Section, x.Key, x.Type, def, x.Bounds, x.Help, x.Variable())
	}
	return b.String()
}

// name declares a required setting whose value is a name.
func name(section, key string, target *string, help string) Setting {
	return Setting{Section: section, Key: key, Type: "name", Required: true, Help: help,
		Bounds: "1 to 64 characters of a-z, 0-9, '.', '_' and '-'",
		set: func(text string) bool {
			*target = text
			return tables.ValidName(text)
		}}
}

// address declares a setting whose value is an IP address with a port; it is required if
// def is empty. With reachable, an unspecified address such as 0.0.0.0 is not valid, since
// other hosts connect to the address.
func address(section, key string, target *netip.AddrPort, def string, reachable bool, help string) Setting {
	bounds := "IP:port, such as 10.0.0.7:7420"
	if reachable {
		bounds += ", with an IP address that other hosts reach"
	}
	return Setting{Section: section, Key: key, Type: "address", Default: def, Required: def == "", Help: help, Bounds: bounds,
		set: func(text string) (ok bool) {
			*target, ok = parseAddress(text)
			return ok && !(reachable && target.Addr().IsUnspecified())
		}}
}

func parseAddress(text string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(text)
	return a, err == nil && a.Port() != 0
}

// addresses declares an optional setting whose value is a list of addresses.
func addresses(section, key string, target *[]netip.AddrPort, help string) Setting {
	return Setting{Section: section, Key: key, Type: "addresses", Help: help, Bounds: "a list IP:port, IP:port, ...",
		set: func(text string) bool {
			*target = nil
			if text == "" {
				return true
			}
			for _, item := range strings.Split(text, ",") {
				a, ok := parseAddress(strings.TrimSpace(item))
				if !ok {
					return false
				}
				*target = append(*target, a)
			}
			return true
		}}
}

func duration(section, key string, target *time.Duration, def string, low, high time.Duration, help string) Setting {
	return Setting{Section: section, Key: key, Type: "duration", Default: def, Help: help, Bounds: fmt.Sprintf("%s to %s", low, high),
		set: func(text string) bool {
			d, err := time.ParseDuration(text)
			*target = d
			return err == nil && d >= low && d <= high
		}}
}

func integer(section, key string, target *int, def string, low, high int, help string) Setting {
	return Setting{Section: section, Key: key, Type: "whole number", Default: def, Help: help, Bounds: fmt.Sprintf("%d to %d", low, high),
		set: func(text string) bool {
			n, err := strconv.Atoi(text)
			*target = n
			return err == nil && n >= low && n <= high
		}}
}

// fraction declares a setting whose value is a number from 0 to 1.
func fraction(section, key string, target *float64, def, help string) Setting {
	return Setting{Section: section, Key: key, Type: "fraction", Default: def, Help: help, Bounds: "0 to 1",
		set: func(text string) bool {
			value, err := strconv.ParseFloat(text, 64)
			*target = value
			return err == nil && value >= 0 && value <= 1
		}}
}

// number declares a setting whose value is a number from low to high.
func number(section, key string, target *float64, def string, low, high float64, help string) Setting {
	return Setting{Section: section, Key: key, Type: "number", Default: def, Help: help, Bounds: fmt.Sprintf("%g to %g", low, high),
		set: func(text string) bool {
			value, err := strconv.ParseFloat(text, 64)
			*target = value
			return err == nil && value >= low && value <= high
		}}
}

func boolean(section, key string, target *bool, def string, help string) Setting {
	return Setting{Section: section, Key: key, Type: "boolean", Default: def, Bounds: "true or false", Help: help, set: func(text string) bool {
		value, err := strconv.ParseBool(text)
		*target = value
		return err == nil
	}}
}

// text declares a setting whose value is any text; its default is empty.
func text(section, key string, target *string, help string) Setting {
	return Setting{Section: section, Key: key, Type: "text", Bounds: "any text", Help: help, set: func(text string) bool {
		*target = text
		return true
	}}
}

func choice(section, key string, target *string, def string, values []string, help string) Setting {
	return Setting{Section: section, Key: key, Type: "choice", Default: def, Help: help, Bounds: strings.Join(values, ", "),
		set: func(text string) bool {
			*target = text
			return slices.Contains(values, text)
		}}
}

// size declares a setting whose value is a number of bytes.
func size(section, key string, target *int, def string, high int, help string) Setting {
	return Setting{Section: section, Key: key, Type: "size", Default: def, Help: help, Bounds: fmt.Sprintf("1 to %d bytes, also with KiB or MiB", high),
		set: func(text string) bool {
			factor := 1
			if rest, ok := strings.CutSuffix(text, "KiB"); ok {
				text, factor = rest, 1<<10
			} else if rest, ok := strings.CutSuffix(text, "MiB"); ok {
				text, factor = rest, 1<<20
			}
			n, err := strconv.Atoi(strings.TrimSpace(text))
			if err != nil || n < 1 || n > high/factor {
				return false
			}
			*target = n * factor
			return true
		}}
}
