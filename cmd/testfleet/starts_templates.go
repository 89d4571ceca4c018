package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"net/http"
	"strings"
	"text/template"
	"time"
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

// listedBackend is a back end as the platform's list shows it.
type listedBackend struct{ Service, Instance, Address, Zone string }

// headerNames are the names of the header fields that stand-ins read and write.
type headerNames struct{ Attempt, Seal, Target, NotRun string }

// readHeaderNames gives the platform's names.
func readHeaderNames() headerNames {
	var names headerNames
	if err := json.Unmarshal(fill("names.json", nil), &names); err != nil {
		panic(err)
	}
	return names
}

// requestHeaders fill the headers of a request.
type requestHeaders struct {
	Attempt string
	// Wait is how long the caller says that it waits.
	Wait time.Duration
}

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

// platformHeaders are those of a request whose attempt has an id and whose caller waits so long.
func platformHeaders(attempt string, wait time.Duration) http.Header {
	var values map[string]string
	if err := json.Unmarshal(fill("headers.json.tmpl", requestHeaders{Attempt: attempt, Wait: wait}), &values); err != nil {
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
