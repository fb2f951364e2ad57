package measure

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

// Store keeps the intervals of one or more call servers in a file. It is safe for concurrent use. Only one process can have
// the file open. Intervals are durable once Put has returned.
type Store struct {
	db        *bbolt.DB
	retention time.Duration
}

// intervalBucket is the name of the only bucket: its keys are those of storeKey, its values are intervals in CBOR.
var intervalBucket = []byte("intervals")

const (
	defaultRetention = 35 * 24 * time.Hour
	lockTimeout      = 2 * time.Second // how long OpenStore waits for another process to close the file
)

// OpenStore opens a store and creates its file if there is none. Intervals that are older than the newest one by more than
// retention are deleted; 0 means 35 days.
func OpenStore(path string, retention time.Duration) (*Store, error) {
	if retention <= 0 {
		retention = defaultRetention
	}
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("measure: store %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(intervalBucket)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("measure: store %s: %w", path, err)
	}
	return &Store{db, retention}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// storeKey is the key of an interval. Keys sort by time, then by exchange; run distinguishes the parts of an interval from
// before and after a restart.
func storeKey(start time.Time, home int, run uint64) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(start.Unix()))
	key = binary.BigEndian.AppendUint32(key, uint32(home))
	return binary.BigEndian.AppendUint64(key, run)
}

// Put stores intervals of one run of a call server. It replaces an interval of the same run and start: the open interval is
// stored repeatedly, so that a crash loses only the traffic since the latest Put. run is any number that differs between
// runs.
func (s *Store) Put(run uint64, intervals ...Interval) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(intervalBucket)
		for _, interval := range intervals {
			value, err := cbor.Marshal(interval)
			if err != nil {
				return err
			}
			if err := bucket.Put(storeKey(interval.Start, interval.Home, run), value); err != nil {
				return err
			}
		}
		return s.prune(bucket)
	})
	if err != nil {
		return fmt.Errorf("measure: store: %w", err)
	}
	return nil
}

// prune deletes the intervals that are older than the newest one by more than the retention.
func (s *Store) prune(bucket *bbolt.Bucket) error {
	cursor := bucket.Cursor()
	last, _ := cursor.Last()
	if last == nil {
		return nil
	}
	oldest := binary.BigEndian.Uint64(last) - uint64(s.retention/time.Second)
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) < oldest; key, _ = cursor.First() {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// Read returns the intervals that begin at from or later and before to, in the order of time. The parts of an interval from
// before and after a restart are merged into one.
func (s *Store) Read(from, to time.Time) (intervals []Interval, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(intervalBucket).Cursor()
		for key, value := cursor.Seek(storeKey(from, 0, 0)); key != nil && binary.BigEndian.Uint64(key) < uint64(to.Unix()); key, value = cursor.Next() {
			var interval Interval
			if err := cbor.Unmarshal(value, &interval); err != nil {
				return fmt.Errorf("interval of %s: %w", time.Unix(int64(binary.BigEndian.Uint64(key)), 0).UTC().Format(time.RFC3339), err)
			}
			if n := len(intervals); n > 0 && intervals[n-1].Home == interval.Home && intervals[n-1].Start.Equal(interval.Start) {
				intervals[n-1] = intervals[n-1].merge(interval)
				continue
			}
			intervals = append(intervals, interval)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("measure: store: %w", err)
	}
	return intervals, nil
}

// merge adds another part of the same interval.
func (i Interval) merge(other Interval) Interval {
	i.Covered += other.Covered
	i.Jumped = i.Jumped || other.Jumped
	if other.Crowd > i.Crowd {
		i.Crowd, i.CrowdTo = other.Crowd, other.CrowdTo
	}
	counts := map[countKey]int{}
	for n, count := range i.Counts {
		counts[countKey{count.Class, count.To}] = n
	}
	for _, count := range other.Counts {
		n, ok := counts[countKey{count.Class, count.To}]
		if !ok {
			i.Counts = append(i.Counts, count)
			continue
		}
		sum := &i.Counts[n]
		sum.Tries, sum.Fresh, sum.Direct, sum.TwoLeg = sum.Tries+count.Tries, sum.Fresh+count.Fresh, sum.Direct+count.Direct, sum.TwoLeg+count.TwoLeg
		sum.Overflow, sum.Lost, sum.Failed, sum.Ended = sum.Overflow+count.Overflow, sum.Lost+count.Lost, sum.Failed+count.Failed, sum.Ended+count.Ended
		sum.Usage, sum.Hold, sum.Hold2, sum.Peak, sum.Peak2 = sum.Usage+count.Usage, sum.Hold+count.Hold, sum.Hold2+count.Hold2, sum.Peak+count.Peak, sum.Peak2+count.Peak2
		sum.Burst, sum.Burst2 = sum.Burst+count.Burst, sum.Burst2+count.Burst2
	}
	groups := map[int]int{}
	for n, group := range i.Groups {
		groups[group.To] = n
	}
	for _, group := range other.Groups {
		n, ok := groups[group.To]
		if !ok {
			i.Groups = append(i.Groups, group)
			continue
		}
		sum := &i.Groups[n]
		sum.Circuits, sum.Least = max(sum.Circuits, group.Circuits), min(sum.Least, group.Least)
		sum.Usage, sum.Seized = sum.Usage+group.Usage, sum.Seized+group.Seized
	}
	return i
}
