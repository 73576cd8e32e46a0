// Package disk keeps bulk data in the data folders of the VMs that have one.
package disk

import (
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// headerBytes is the length of the hash before the data of a segment.
	headerBytes = 8
	// filePermissions and folderPermissions let nobody else read segments.
	filePermissions   = 0o600
	folderPermissions = 0o700
	// maxKeyBytes bounds a key; its encoded form has to fit a file name.
	maxKeyBytes = 110
	// suffix ends the name of each segment.
	suffix = ".segment"
)

// errDamaged is the failure of a segment whose bytes have changed.
var errDamaged = errors.New("the segment is damaged; another copy serves it")

// Folder is the data folder of one VM.
type Folder struct {
	path string
}

// NewFolder returns the folder at the path, made if it is missing.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermissions); err != nil {
		return nil, err
	}
	return &Folder{path: path}, nil
}

// file is the path of a segment; the key is encoded, so that no key leaves the
// folder.
func (f *Folder) file(key string) string {
	return filepath.Join(f.path, hex.EncodeToString([]byte(key))+suffix)
}

// Keys returns the keys of all segments.
func (f *Folder) Keys() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, entry := range entries {
		name, ok := strings.CutSuffix(entry.Name(), suffix)
		key, err := hex.DecodeString(name)
		if ok && err == nil {
			keys = append(keys, string(key))
		}
	}
	return keys, nil
}

// Put writes a segment and returns once it is on the disk.
func (f *Folder) Put(key string, data []byte) error {
	if len(key) > maxKeyBytes {
		return errors.Newf("the key of a segment holds more than %d bytes", maxKeyBytes)
	}
	temp, err := os.CreateTemp(f.path, "writing-*")
	if err != nil {
		return err
	}
	defer os.Remove(temp.Name())
	defer temp.Close()
	if err := temp.Chmod(filePermissions); err != nil {
		return err
	}
	header := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data))
	if _, err := temp.Write(append(header, data...)); err != nil {
		return err
	}
	if err := temp.Sync(); err != nil {
		return err
	}
	if err := os.Rename(temp.Name(), f.file(key)); err != nil {
		return err
	}
	return f.sync()
}

// sync makes the folder's own entries durable.
func (f *Folder) sync() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Get reads a segment and checks it against its hash.
func (f *Folder) Get(key string) ([]byte, error) {
	content, err := os.ReadFile(f.file(key))
	if err != nil {
		return nil, err
	}
	if len(content) < headerBytes {
		return nil, errDamaged
	}
	data := content[headerBytes:]
	if binary.BigEndian.Uint64(content) != xxhash.Sum64(data) {
		return nil, errDamaged
	}
	return data, nil
}

// RemoveBefore deletes the segments that were written before the time.
func (f *Folder) RemoveBefore(limit time.Time) error {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err == nil && info.ModTime().Before(limit) {
			_ = os.Remove(filepath.Join(f.path, entry.Name()))
		}
	}
	return nil
}
