package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"net/http"
	"strings"
	"text/template"
)

// templateFiles are the texts in the form of the users' platform, whose names no code outside package platform knows.
//
//go:embed templates
var templateFiles embed.FS

var platformTemplates = template.Must(template.ParseFS(templateFiles, "templates/*"))

// machineSettings fill the settings file of a process. Zones and Seeds are JSON.
type machineSettings struct {
	Name, IP, Zone, Region, Data, List string
	Zones, Seeds                       string
	IsFirst, HasDisk                   bool
}

// configurationText fills a configuration.
type configurationText struct{ Version, Base, IdleTimeout uint32 }

// fill gives the text of a template; the templates and what fills them are this program's own.
func fill(name string, values any) []byte {
	var text bytes.Buffer
	if err := platformTemplates.ExecuteTemplate(&text, name, values); err != nil {
		panic(err)
	}
	return text.Bytes()
}

// environmentOf is the variable that tells a process of its settings file.
func environmentOf(settings string) string {
	return strings.TrimSpace(string(fill("environment.tmpl", settings)))
}

// platformHeaders are those of a request whose attempt has an id.
func platformHeaders(attempt string) http.Header {
	var values map[string]string
	if err := json.Unmarshal(fill("headers.json.tmpl", attempt), &values); err != nil {
		panic(err)
	}
	header := http.Header{}
	for name, value := range values {
		header.Set(name, value)
	}
	return header
}

// jsonText is a value as JSON.
func jsonText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}
