package admin

import (
	"runtime/debug"
	"sync"
)

const (
	// releaseVersion changes with each release that operators have to tell from the one before.
	releaseVersion = "0.3.0"
	// revisionLength is how many digits of the commit's hash are shown.
	revisionLength = 8
)

// Version names this program: its release, and the commit it was built from if the build recorded
// one, such as 0.3.0+6c35e8c1.
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
