// Package stand2 runs a small deployment for the cases 4 and up of the review: three controllers as
// separate processes, with the project's fakes (internal/fakes) as state service, cloud and workers behind
// HTTP servers on loopback addresses, on the real clock.
//
// Every controller has its own addresses for the state service and the cloud, and a TCP relay of its own
// to each peer, so that a case can cut one controller off. All that is sent, answered and run goes to
// record.txt in the case's folder.
package stand2
