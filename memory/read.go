package memory

import (
	"errors"
	"io"
)

// ErrTooLarge is returned if a body is larger than its limit.
var ErrTooLarge = errors.New("the body exceeds its limit")

// ReadAll reads a body of at most limit bytes and reserves the buffer in steps as bytes arrive.
// length is the announced length, or negative; it only bounds the buffer. On success the
// holding holds the capacity of the result until the caller releases it, otherwise nothing of it.
func ReadAll(body io.Reader, holding *Holding, length, limit int64) ([]byte, error) {
	most := limit + 1 // one byte more tells a body at the limit from a larger one
	if length >= 0 {
		most = min(most, length+1)
	}
	var data []byte
	for {
		if len(data) == cap(data) && int64(len(data)) < most {
			grown, err := grow(data, holding, most)
			if err != nil {
				holding.Release(int64(cap(data)))
				return nil, err
			}
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			err = ErrTooLarge
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			holding.Release(int64(cap(data)))
			return nil, err
		}
	}
}

// grow returns a copy of the data with twice the capacity, but no more than most.
func grow(data []byte, holding *Holding, most int64) ([]byte, error) {
	size := min(max(firstReadBytes, 2*int64(cap(data))), most)
	if err := holding.Reserve(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	holding.Release(int64(cap(data)))
	return grown, nil
}
