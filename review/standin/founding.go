package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// playFounding: the machine that acknowledges the first configuration loses its disk right after that, and starts again at its old
// address with an empty folder a second later. Nothing else happens. Without trouble it is only killed and started again.
func playFounding(f *fleet, hasTrouble bool) error {
	for i, zone := range zones {
		if _, err := f.addBackend("slotdesk", zone, false, skewed(98*time.Millisecond)); err != nil {
			return fmt.Errorf("backend %d: %w", i, err)
		}
	}
	k := class{name: "slot-book", host: "jepu9.example", prefix: "/slot/", method: "POST", deadline: 2500 * time.Millisecond}
	text := config(map[string]bool{"slotdesk": false}, []class{k}, map[string]string{k.name: "slotdesk"})
	if err := f.start(2); err != nil {
		return err
	}
	m, err := f.firstTaken(text, 20*time.Second)
	if err != nil {
		return err
	}
	m.process.Process.Kill()
	m.process.Wait()
	f.note("machine %s is killed right after its acknowledgement", m.name)
	if hasTrouble {
		if err := os.RemoveAll(filepath.Join(f.dir, m.name)); err != nil {
			return err
		}
		f.note("machine %s has lost its disk", m.name)
	}
	time.Sleep(time.Second)
	if err := f.startAgain(m); err != nil {
		return err
	}
	return f.readBack(text, 60*time.Second)
}

// firstTaken sends the first configuration to all machines with a disk at once, again and again, until one acknowledges it.
func (f *fleet) firstTaken(text []byte, within time.Duration) (*machine, error) {
	taken := make(chan *machine, len(f.machines))
	end := time.Now().Add(within)
	for _, m := range f.machines {
		if !m.hasDisk {
			continue
		}
		go func() {
			client := &http.Client{Timeout: time.Second}
			for time.Now().Before(end) && len(taken) == 0 {
				request, err := http.NewRequest(http.MethodPut, "http://"+m.at(controlPort)+"/config", bytes.NewReader(text))
				if err != nil {
					return
				}
				response, err := client.Do(request)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					f.note("machine %s acknowledges the configuration", m.name)
					taken <- m
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	select {
	case m := <-taken:
		return m, nil
	case <-time.After(within):
		return nil, fmt.Errorf("no machine acknowledged the first configuration within %v", within)
	}
}

// startAgain starts a machine's process with settings that are no longer those of the first start.
func (f *fleet) startAgain(m *machine) error {
	settings := m.settings
	settings["first-start"] = false
	f.note("machine %s starts again", m.name)
	return f.startMachine(m, settings)
}

// readBack asks all machines for the configuration, again and again, until one gives it or the time is over.
func (f *fleet) readBack(text []byte, within time.Duration) error {
	client := &http.Client{Timeout: 6 * time.Second}
	end := time.Now().Add(within)
	statuses := map[string]int{}
	var lock sync.Mutex
	var group sync.WaitGroup
	isBack := false
	for _, m := range f.machines {
		group.Go(func() {
			for time.Now().Before(end) {
				status, got := read(client, m)
				lock.Lock()
				statuses[status]++
				isNews := !isBack && bytes.Equal(got, text)
				isBack = isBack || isNews
				isDone := isBack
				lock.Unlock()
				if isNews {
					f.note("machine %s gives the acknowledged configuration", m.name)
				}
				if isDone {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	f.note("answers to GET /config: %v", statuses)
	if isBack {
		return nil
	}
	f.violation("LOST the acknowledged configuration can't be read at any of %d machines within %v", len(f.machines), within)
	if err := f.put(text, 10*time.Second); err != nil {
		f.note("the configuration sent again: %v", err)
	}
	for _, m := range f.machines {
		response, err := client.Get("http://" + m.at(readyPort) + "/readiness")
		if err != nil {
			f.note("machine %s: %v", m.name, err)
			continue
		}
		response.Body.Close()
		f.note("machine %s says of its readiness %s", m.name, response.Status)
	}
	return nil
}

// read asks a machine for the configuration.
func read(client *http.Client, m *machine) (status string, config []byte) {
	response, err := client.Get("http://" + m.at(controlPort) + "/config")
	if err != nil {
		return "no answer", nil
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return response.Status, nil
	}
	return response.Status, got
}
