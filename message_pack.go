package bergamotgrade

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// maxMessagePackDepth bounds the nesting of a value; the types of the VMs need less than ten levels.
const maxMessagePackDepth = 32

// errMessagePack is returned for bytes that do not begin with a whole MessagePack value.
var errMessagePack = errors.New("no whole MessagePack value")

// CheckMessagePack checks that the data begins with a whole MessagePack value. Decoders allocate what
// the length of a list or text claims before they read it, so a few bytes that claim much would end the
// process.
func CheckMessagePack(data []byte) error {
	// open holds the number of values that are still due at each level.
	open := []uint64{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		if len(data) == 0 {
			return errMessagePack
		}
		head, values, skipped := data[0], uint64(0), uint64(0)
		data = data[1:]
		switch {
		case head <= 0x7f, head >= 0xe0, head == 0xc0, head == 0xc2, head == 0xc3: // small number, nil, bool
		case head <= 0x8f:
			values = 2 * uint64(head&0x0f)
		case head <= 0x9f:
			values = uint64(head & 0x0f)
		case head <= 0xbf:
			skipped = uint64(head & 0x1f)
		default:
			shape, ok := messagePackShapes[head]
			if !ok || len(data) < shape.lengthBytes {
				return errMessagePack
			}
			length := bigEndian(data[:shape.lengthBytes])
			data = data[shape.lengthBytes:]
			values, skipped = shape.valuesPer*length, shape.bytesPer*length+shape.fixedBytes
		}
		if skipped > uint64(len(data)) || values > uint64(len(data))-skipped {
			return errMessagePack // each value takes a byte at least
		}
		data = data[skipped:]
		if values > 0 {
			if len(open) == maxMessagePackDepth {
				return errMessagePack
			}
			open = append(open, values)
		}
	}
	return nil
}

// messagePackShape describes what follows the first byte of a value: its length, then values or bytes
// for each unit of the length, and a fixed number of bytes.
type messagePackShape struct {
	lengthBytes                     int
	valuesPer, bytesPer, fixedBytes uint64
}

var messagePackShapes = map[byte]messagePackShape{
	0xc4: {lengthBytes: 1, bytesPer: 1}, 0xc5: {lengthBytes: 2, bytesPer: 1}, 0xc6: {lengthBytes: 4, bytesPer: 1}, // bytes
	0xc7: {1, 0, 1, 1}, 0xc8: {2, 0, 1, 1}, 0xc9: {4, 0, 1, 1}, // extension
	0xca: {fixedBytes: 4}, 0xcb: {fixedBytes: 8}, // float
	0xcc: {fixedBytes: 1}, 0xcd: {fixedBytes: 2}, 0xce: {fixedBytes: 4}, 0xcf: {fixedBytes: 8}, // unsigned
	0xd0: {fixedBytes: 1}, 0xd1: {fixedBytes: 2}, 0xd2: {fixedBytes: 4}, 0xd3: {fixedBytes: 8}, // signed
	0xd4: {fixedBytes: 2}, 0xd5: {fixedBytes: 3}, 0xd6: {fixedBytes: 5}, 0xd7: {fixedBytes: 9}, 0xd8: {fixedBytes: 17}, // fixed extension
	0xd9: {lengthBytes: 1, bytesPer: 1}, 0xda: {lengthBytes: 2, bytesPer: 1}, 0xdb: {lengthBytes: 4, bytesPer: 1}, // text
	0xdc: {lengthBytes: 2, valuesPer: 1}, 0xdd: {lengthBytes: 4, valuesPer: 1}, // list
	0xde: {lengthBytes: 2, valuesPer: 2}, 0xdf: {lengthBytes: 4, valuesPer: 2}, // map
}

// bigEndian returns the number in up to four bytes.
func bigEndian(data []byte) uint64 {
	var padded [8]byte
	copy(padded[8-len(data):], data)
	return binary.BigEndian.Uint64(padded[:])
}
