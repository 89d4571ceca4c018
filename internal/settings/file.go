package settings

import (
	"bytes"
	"encoding/json"
	"os"
)

// settingsFile is the form of a settings file: today's names and, for one version, the earlier ones.
type settingsFile struct {
	Settings
	oldNames
}

// readFile reads a settings file. A file that can't be read is one fault and gives no settings.
func readFile(path string, faults *FaultList) *Settings {
	text, err := os.ReadFile(path)
	if err != nil {
		faults.Add(Unreadable, "settings", "name a readable file", "can't be read (%v)", err)
		return nil
	}
	var given settingsFile
	reader := json.NewDecoder(bytes.NewReader(text))
	reader.DisallowUnknownFields()
	if err := reader.Decode(&given); err != nil {
		faults.Add(Unreadable, "settings", "see the README's example", "is not the expected JSON (%v)", err)
		return nil
	}
	given.oldNames.settle(&given.Settings, faults)
	return &given.Settings
}
