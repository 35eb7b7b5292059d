package settings

import (
	"regexp"
	"strings"

	"pulleyquay/internal/result"
)

// Root is the path of the branch from which all others inherit.
const Root = "/"

// Limits of the tree's shape and size.
const (
	// MaxDepth is the greatest number of segments in a path.
	MaxDepth = 8
	// MaxChildren bounds the children of one branch, and thereby the size of the stored value that each change of a
	// descendant rewrites (about 90 kB).
	MaxChildren = 1000
	// MaxTreeBytes bounds the total stored size of all branches, so that a process can fetch the tree from a peer in
	// one message.
	MaxTreeBytes = 8 << 20
	// MaxEdits bounds the branches of one change.
	MaxEdits = 20000
)

// segmentForm excludes the dot, which separates the segments in a service's name.
var segmentForm = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// split returns the segments of a path; the root has none.
func split(path string) ([]string, error) {
	if path == Root {
		return nil, nil
	}
	if !strings.HasPrefix(path, "/") {
		return nil, result.New(result.SettingsBadPath, result.RanNo, "%q does not start with a slash", path).AtField(path)
	}
	segments := strings.Split(path[1:], "/")
	if len(segments) > MaxDepth {
		return nil, result.New(result.SettingsBadPath, result.RanNo, "%q has over %d segments", path, MaxDepth).AtField(path)
	}
	for _, s := range segments {
		if !segmentForm.MatchString(s) {
			return nil, result.New(result.SettingsBadPath, result.RanNo,
				"segment %q of %q: lower-case letters, digits, underscore and hyphen are allowed, 63 at most", s, path).AtField(path)
		}
	}
	return segments, nil
}

// child returns the path of a branch's child.
func child(parent, name string) string {
	if parent == Root {
		return Root + name
	}
	return parent + "/" + name
}
