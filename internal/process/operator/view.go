package operator

import (
	"strings"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// changeView is the change of a row as it is printed.
type changeView struct {
	Action   string        `json:"action"` // "add", "change" or "remove"
	Row      string        `json:"row"`
	Settings []settingView `json:"settings,omitempty"`
}

type settingView struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// describeChanges returns changes as they are printed. before holds the tables that the
// changes apply to; its rows give the old values of the settings.
func describeChanges(before *tables.Tables, changes []tables.Change) []changeView {
	list := []changeView{}
	for _, c := range changes {
		ref, _ := c.Ref()
		view := changeView{Action: "add", Row: ref.String()}
		old, exists := before.Row(ref)
		switch {
		case c.Remove != nil:
			view.Action = "remove"
		case exists:
			view.Action = "change"
		}
		oldSettings := old.Settings()
		for i, pair := range c.Settings() {
			s := settingView{Key: pair.Key, After: pair.Value}
			if exists {
				s.Before = oldSettings[i].Value
			}
			if s.Before != s.After {
				view.Settings = append(view.Settings, s)
			}
		}
		list = append(list, view)
	}
	return list
}

// formatChanges returns one line per row and setting.
func formatChanges(list []changeView) string {
	if len(list) == 0 {
		return "no differences\n"
	}
	sign := map[string]string{"add": "+", "change": "~", "remove": "-"}
	var b strings.Builder
	for _, c := range list {
		b.WriteString(sign[c.Action] + " [" + c.Row + "]\n")
		for _, s := range c.Settings {
			b.WriteString("    " + s.Key + " = ")
			if c.Action == "change" {
				b.WriteString(s.Before + " -> ")
			}
			b.WriteString(s.After + "\n")
		}
	}
	return b.String()
}
