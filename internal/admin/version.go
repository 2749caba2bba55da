package admin

import (
	"runtime/debug"
	"sync"
)

// releaseVersion is the service's own version. It changes with each landing that operators are
// to tell apart.
const releaseVersion = "0.3.0"

// Version names this program: its release, and the commit it was built from if the
// build knows.
var Version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return releaseVersion
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 8 {
			return releaseVersion + "+" + s.Value[:8]
		}
	}
	return releaseVersion
})
