package lab

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
)

// Store keeps results in a bbolt file. It is safe for concurrent use; one process at a time can have the file open.
type Store struct{ db *bbolt.DB }

// resultsBucket is the name of the bucket that maps keys to results in JSON.
var resultsBucket = []byte("results")

// Open opens the store at path, and creates it if there is none.
func Open(path string) (*Store, error) {
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, fmt.Errorf("lab: store %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(resultsBucket)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("lab: store %s: %w", path, err)
	}
	return &Store{db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// get returns the result that is stored under key; found is false if there is none.
func (s *Store) get(key []byte) (result Result, found bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		data := tx.Bucket(resultsBucket).Get(key)
		if data == nil {
			return nil
		}
		found = true
		return json.Unmarshal(data, &result)
	})
	return result, found, err
}

// put stores a result under key. Once it has returned, the result survives a crash.
func (s *Store) put(key []byte, result Result) error {
	data, err := json.Marshal(result)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(resultsBucket).Put(key, data) })
}

// Lengths of program identifiers.
const (
	commitDigits     = 12 // hexadecimal digits of a commit
	programHashBytes = 6
)

// Commit identifies this program: by the commit that it was built from, followed by "+" if the tree was modified; by a hash
// of the executable if the build recorded no commit.
func Commit() string {
	commit, dirtySuffix := "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				commit = setting.Value[:min(commitDigits, len(setting.Value))]
			case setting.Key == "vcs.modified" && setting.Value == "true":
				dirtySuffix = "+"
			}
		}
	}
	if commit != "" {
		return commit + dirtySuffix
	}
	path, err := os.Executable()
	if err != nil {
		return "unknown"
	}
	file, err := os.Open(path)
	if err != nil {
		return "unknown"
	}
	defer file.Close()
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "unknown"
	}
	return fmt.Sprintf("program-%x", hash.Sum(nil)[:programHashBytes])
}
