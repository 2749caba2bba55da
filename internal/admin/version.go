package admin

import (
	"runtime/debug"
	"sync"
)

const (
	// releaseVersion is the version of the release.
	releaseVersion = "0.3.1"
	// revisionLength is the number of hexadecimal digits of the commit hash in a version.
	revisionLength = 8
)

// Version returns the release and, if the build recorded it, the commit of this program, such as
// 0.3.1+6c35e8c1.
var Version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return releaseVersion
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= revisionLength {
			return releaseVersion + "+" + setting.Value[:revisionLength]
		}
	}
	return releaseVersion
})
