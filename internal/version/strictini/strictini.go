// Package strictini loads INI text without the conveniences that hide faults:
// no line continuation, no inheritance between sections, and repeated sections
// and keys stay visible, so that the caller can report them.
package strictini

import "gopkg.in/ini.v1"

// Load parses INI text. Its error tells what is wrong with the syntax.
func Load(text []byte) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      "\x00", // no inheritance between sections
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}, text)
}
