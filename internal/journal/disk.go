package journal

// Area is one preallocated file.
type Area interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	// Sync returns after everything written is on disk.
	Sync() error
	Size() int64
}

// Disk opens areas by name. An area that doesn't exist is made at that size in bytes, all zero.
type Disk interface {
	Area(name string, size int64) (Area, error)
}

// readAll reads a whole area.
func readAll(area Area) ([]byte, error) {
	data := make([]byte, area.Size())
	if _, err := area.ReadAt(data, 0); err != nil {
		return nil, err
	}
	return data, nil
}
