// Package disk stores segments of bulk data in the data folders of the VMs that have one.
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
	// hashBytes is the length of the hash that precedes the data in a segment file.
	hashBytes = 8
	// filePermissions and folderPermissions restrict segments to the
	// operating system user of the VM's process.
	filePermissions   = 0o600
	folderPermissions = 0o700
	// maxKeyBytes bounds a key; its hexadecimal form and the suffix must fit into a file name.
	maxKeyBytes = 110
	// segmentSuffix is the suffix of the file name of each segment.
	segmentSuffix = ".segment"
)

// errHashMismatch is returned for a segment file whose data does not match its hash.
var errHashMismatch = errors.New("segment data does not match its hash; read another copy")

// Folder is the data folder of one VM.
type Folder struct {
	path string
}

// NewFolder returns the folder at the path and creates it if it is missing.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermissions); err != nil {
		return nil, err
	}
	return &Folder{path: path}, nil
}

// segmentPath returns the path of a segment file. The key is encoded in hexadecimal, so
// that no key refers to a path outside the folder.
func (f *Folder) segmentPath(key string) string {
	return filepath.Join(f.path, hex.EncodeToString([]byte(key))+segmentSuffix)
}

// Keys returns the keys of all segments.
func (f *Folder) Keys() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, entry := range entries {
		name, ok := strings.CutSuffix(entry.Name(), segmentSuffix)
		key, err := hex.DecodeString(name)
		if ok && err == nil {
			keys = append(keys, string(key))
		}
	}
	return keys, nil
}

// Put writes a segment atomically and returns once it is durable.
func (f *Folder) Put(key string, data []byte) error {
	if len(key) > maxKeyBytes {
		return errors.Newf("segment key exceeds %d bytes", maxKeyBytes)
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
	if err := os.Rename(temp.Name(), f.segmentPath(key)); err != nil {
		return err
	}
	return f.syncFolder()
}

// syncFolder makes the folder's directory entries durable.
func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Get reads a segment and verifies its hash.
func (f *Folder) Get(key string) ([]byte, error) {
	content, err := os.ReadFile(f.segmentPath(key))
	if err != nil {
		return nil, err
	}
	if len(content) < hashBytes {
		return nil, errHashMismatch
	}
	data := content[hashBytes:]
	if binary.BigEndian.Uint64(content) != xxhash.Sum64(data) {
		return nil, errHashMismatch
	}
	return data, nil
}

// RemoveBefore deletes the files, unfinished writes included, that were last written before
// the limit.
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
