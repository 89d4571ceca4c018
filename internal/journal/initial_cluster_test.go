package journal

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func openTestFolder(t *testing.T, path string) *Folder {
	t.Helper()
	folder, err := OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { folder.Close() })
	return folder
}

func TestTheInitialClusterIsReadBackAndGoesWithTheJournal(t *testing.T) {
	folder := openTestFolder(t, t.TempDir())
	if initial, err := folder.InitialCluster(); initial != nil || err != nil {
		t.Fatalf("an empty folder holds %v, %v", initial, err)
	}
	want := &InitialCluster{Seeds: []string{"10.0.0.1:7001", "10.1.0.1:7001"}}
	if err := folder.RecordInitialCluster(want); err != nil {
		t.Fatal(err)
	}
	if got, err := folder.InitialCluster(); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("read back %v, %v", got, err)
	}
	if err := folder.Wipe(); err != nil {
		t.Fatal(err)
	}
	if initial, err := folder.InitialCluster(); initial != nil || err != nil {
		t.Fatalf("after a wipe the folder holds %v, %v", initial, err)
	}
}

func TestADamagedInitialClusterIsNamed(t *testing.T) {
	folder := openTestFolder(t, t.TempDir())
	for _, text := range []string{"", "{", `{"seeds":[]}`} {
		if err := os.WriteFile(filepath.Join(folder.Path, initialClusterName), []byte(text), fileMode); err != nil {
			t.Fatal(err)
		}
		var corrupt *CorruptError
		if _, err := folder.InitialCluster(); !errors.As(err, &corrupt) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
