package jvquarantine

import (
	"crypto/sha256"
	"slices"
)

// Features are what the requests that crash targets may have in common.
type Features struct {
	// Request identifies the whole request.
	Request Digest
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
}

// Part is a part of a prompt that several requests may share.
type Part struct {
	Digest Digest
	// Name is the beginning of the part's ID, for logs.
	Name string
}

const (
	// maxPartNameBytes is the length of an ID that is kept whole. IDs are usually hashes.
	maxPartNameBytes = 64
	// maxParts is the number of parts of one prompt that are considered, the first ones. Prompts have a few.
	maxParts = 256
)

// NewPart returns the part with an ID.
func NewPart(id string) Part {
	h := sha256.Sum256([]byte("part\x00" + id)) // Differs from the hashes of requests.
	return Part{Digest: DigestOf(h[:]), Name: id[:min(len(id), maxPartNameBytes)]}
}

// Without returns the features without some parts.
func (f Features) Without(parts []Part) Features {
	f.Parts = slices.DeleteFunc(slices.Clone(f.Parts), func(p Part) bool { return slices.Contains(parts, p) })
	return f
}

// PartNames returns the names of the parts.
func (f Features) PartNames() []string {
	names := make([]string, 0, len(f.Parts))
	for _, p := range f.Parts {
		names = append(names, p.Name)
	}
	return names
}

// subjects returns the request and its parts, of which each may be a suspect.
func (f Features) subjects() []subject {
	list := make([]subject, 0, 1+len(f.Parts))
	list = append(list, subject{digest: f.Request})
	for _, p := range f.Parts[:min(len(f.Parts), maxParts)] {
		list = append(list, subject{digest: p.Digest, part: true, name: p.Name})
	}
	return list
}

// subject is a request or a part of prompts.
type subject struct {
	digest Digest
	// part is true for a part of prompts, name is its name.
	part bool
	name string
}
