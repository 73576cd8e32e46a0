package release

import (
	"encoding/json"

	"github.com/bergamotgrade/bergamotgrade"
)

// splitRecords encodes the records as values of bounded size for the platform.
func splitRecords(all Records) ([][]byte, error) {
	var parts [][]byte
	emit := func(records Records) error {
		value, err := json.Marshal(records)
		if err != nil {
			return err
		}
		parts = append(parts, value)
		return nil
	}
	err := splitRecordsOfKind(all.Teams, emit, func(chunk []bergamotgrade.Team) Records { return Records{Teams: chunk} })
	if err != nil {
		return nil, err
	}
	err = splitRecordsOfKind(all.Keys, emit, func(chunk []bergamotgrade.Key) Records { return Records{Keys: chunk} })
	if err != nil {
		return nil, err
	}
	err = splitRecordsOfKind(all.BackendServers, emit, func(chunk []bergamotgrade.BackendServer) Records { return Records{BackendServers: chunk} })
	if err != nil {
		return nil, err
	}
	err = splitRecordsOfKind(all.Models, emit, func(chunk []bergamotgrade.Model) Records { return Records{Models: chunk} })
	if err != nil {
		return nil, err
	}
	err = splitRecordsOfKind(all.Services, emit, func(chunk []bergamotgrade.Service) Records { return Records{Services: chunk} })
	return parts, err
}

func splitRecordsOfKind[T any](records []T, emit func(Records) error, wrap func([]T) Records) error {
	start, size := 0, 0
	for i, record := range records {
		encoded, err := json.Marshal(record)
		if err != nil {
			return err
		}
		if size+len(encoded) > maxSnapshotValueBytes && i > start {
			if err := emit(wrap(records[start:i])); err != nil {
				return err
			}
			start, size = i, 0
		}
		size += len(encoded) + 1
	}
	if start == len(records) {
		return nil
	}
	return emit(wrap(records[start:]))
}
