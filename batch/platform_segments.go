package batch

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// PlatformSegments stores segments as values in the platform's store, for deployments
// without disk VMs. It bounds the size of a file.
type PlatformSegments struct {
	platform     bergamotgrade.Platform
	leases       *retentionLeases
	maxFileBytes int64
}

var _ bergamotgrade.Segments = (*PlatformSegments)(nil)

// NewPlatformSegments returns a segment store for files of at most maxFileBytes bytes.
func NewPlatformSegments(platform bergamotgrade.Platform, clock bergamotgrade.Clock, maxFileBytes int64) *PlatformSegments {
	return &PlatformSegments{platform: platform, leases: newRetentionLeases(platform, clock), maxFileBytes: maxFileBytes}
}

// Put implements bergamotgrade.Segments.
func (s *PlatformSegments) Put(ctx context.Context, key string, data []byte) (bergamotgrade.SegmentRef, error) {
	ref := bergamotgrade.SegmentRef{Key: key, Bytes: len(data), Hash: xxhash.Sum64(data)}
	lease, err := s.leases.current(ctx)
	if err != nil {
		return ref, err
	}
	_, err = s.platform.CompareAndSwap(ctx, segmentPrefix+key, data, 0, lease)
	if err == nil {
		return ref, nil
	}
	// The segment may exist already: an earlier attempt wrote it, or this attempt did and
	// its response was lost.
	if _, readErr := s.Get(ctx, ref); readErr == nil {
		return ref, nil
	}
	return ref, err
}

// Get implements bergamotgrade.Segments.
func (s *PlatformSegments) Get(ctx context.Context, ref bergamotgrade.SegmentRef) ([]byte, error) {
	entry, err := s.platform.Get(ctx, segmentPrefix+ref.Key)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(entry.Value) != ref.Hash {
		return nil, bergamotgrade.NewError(bergamotgrade.KindInternal, "segment "+ref.Key+" is missing or damaged", "restore it from the platform's history")
	}
	return entry.Value, nil
}

// Limit implements bergamotgrade.Segments.
func (s *PlatformSegments) Limit() int64 { return s.maxFileBytes }
