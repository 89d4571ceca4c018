package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// initialClusterName is the file that records a machine's part in the first start of its system. It is written before the areas are made,
// which takes longer.
const initialClusterName = "initial-cluster.json"

// InitialCluster is a machine's recorded part in the first start of its system: it is one of the initial voters.
type InitialCluster struct {
	// Seeds are the peer addresses that all machines were given at that start.
	Seeds []string `json:"seeds"`
}

// InitialCluster gives the recorded part, or nil where none is recorded.
func (f *Folder) InitialCluster() (*InitialCluster, error) {
	text, err := os.ReadFile(filepath.Join(f.Path, initialClusterName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the initial cluster: %w", err)
	}
	initial := &InitialCluster{}
	if err := json.Unmarshal(text, initial); err != nil || len(initial.Seeds) == 0 {
		return nil, &CorruptError{File: initialClusterName}
	}
	return initial, nil
}

// RecordInitialCluster records a machine's part and returns after it is on disk. The record is there whole or not at all.
func (f *Folder) RecordInitialCluster(initial *InitialCluster) error {
	text, err := json.Marshal(initial)
	if err != nil {
		return err
	}
	path := filepath.Join(f.Path, initialClusterName)
	if err := writeSynced(path+".new", text); err != nil {
		return fmt.Errorf("record the initial cluster: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("record the initial cluster: %w", err)
	}
	return f.syncFolder()
}

// forgetInitialCluster removes the record and returns after that is on disk: without the areas nobody may bear its identity.
func (f *Folder) forgetInitialCluster() error {
	err := os.Remove(filepath.Join(f.Path, initialClusterName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return errors.Join(err, f.syncFolder())
}

func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	return errors.Join(err, file.Sync(), file.Close())
}
