package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// tallies keeps which tasks of open jobs have completed, in chunks of a job's
// tasks, many to a page.
//
// What a key means is shared with earlier versions: JOB/N holds the Nth chunk of a size
// that follows from the present limit for a value. Where a chunk is more than the service
// will take after its limits fall, parts of it are kept instead, as JOB/@FIRST, by the
// number of their first task: they mean the same under any limit. An earlier version drops
// those, and has such jobs' completed tasks, a page's worth and more, run once more: their
// results are kept, so they end as soon as they have their image.
type tallies struct {
	pages   *store.Pages
	chunk   int                          // tasks, as earlier versions count them
	part    int                          // tasks that one entry may hold
	entries map[string]map[string][]byte // by job and key, as last put or read
}

// tallyKey names an entry of a job's tallies.
type tallyKey struct {
	job, key string
	first    int // the entry's first task
}

// newTallies makes an empty record; valueKB is the present limit for a value.
func newTallies(pages *store.Pages, valueKB float64) *tallies {
	t := &tallies{pages: pages, chunk: int(valueKB*1024) * tuning.CompletionBitsPerByte, entries: map[string]map[string][]byte{}}
	t.part = partOf(pages.Size())
	pages.Shrunk = t.refit
	return t
}

// partOf is how many tasks an entry may hold that takes a page's size at most. Base64
// takes four bytes for three.
func partOf(size int) int { return max(1, (size-tuning.CompletionNameBytes)*3/4) * 8 }

func tallyUnder(block int) string { return "t/" + strconv.Itoa(block) + "/" }

// tallyEntry is a range of a job's tasks that one entry holds.
type tallyEntry struct {
	key         string
	first, next int // the range is first to next-1
}

// layout lists the entries that hold a job's tasks: each chunk whole where it fits, as
// earlier versions keep it, otherwise in parts.
func (t *tallies) layout(job string, tasks int) (out []tallyEntry) {
	for first := 0; first < tasks; first += t.chunk {
		next := min(first+t.chunk, tasks)
		if next-first <= t.part {
			out = append(out, tallyEntry{job + "/" + strconv.Itoa(first/t.chunk), first, next})
			continue
		}
		for at := first; at < next; at += t.part {
			out = append(out, tallyEntry{partKey(job, at), at, min(at+t.part, next)})
		}
	}
	return out
}

func partKey(job string, first int) string { return job + "/@" + strconv.Itoa(first) }

// first is the first task of the entry with a key.
func (t *tallies) first(num string) (int, bool) {
	if at, ok := strings.CutPrefix(num, "@"); ok {
		n, err := strconv.Atoi(at)
		return n, err == nil && n >= 0
	}
	n, err := strconv.Atoi(num)
	return n * t.chunk, err == nil && n >= 0 && n <= wire.MaxTasks
}

// put enters an entry in its page; then is told once it is durable.
func (t *tallies) put(k tallyKey, bits []byte, then func(now time.Time)) {
	t.note(k, bits)
	t.pages.Put(k.key, bits, then)
}

func (t *tallies) note(k tallyKey, bits []byte) {
	if t.entries[k.job] == nil {
		t.entries[k.job] = map[string][]byte{}
	}
	t.entries[k.job][k.key] = bits
}

// load takes over what an earlier tenure wrote; job finds an open job.
func (t *tallies) load(items []wire.Item, job func(id string) *placement.Job) {
	t.pages.Load(items, func(key string, raw json.RawMessage) {
		id, num, _ := strings.Cut(key, "/")
		first, ok := t.first(num)
		j := job(id)
		var bits []byte
		if j == nil || !ok || json.Unmarshal(raw, &bits) != nil {
			t.pages.Drop(key)
			return
		}
		t.note(tallyKey{id, key, first}, bits)
		recoverTasks(j, first, bits)
	})
	t.refit()
}

// recoverTasks marks a job's tasks as durably done that an entry tells of.
func recoverTasks(j *placement.Job, first int, bits []byte) {
	for i, b := range bits {
		for k := range 8 {
			if b&(1<<k) != 0 {
				j.RestoreCompleted(first + i*8 + k)
			}
		}
	}
}

// refit puts entries that are larger than a page may be in smaller ones. The page's size
// may have become smaller because the service refused one.
func (t *tallies) refit() {
	t.part = partOf(t.pages.Size())
	var large []tallyKey
	for job, entries := range t.entries {
		for key, bits := range entries {
			_, num, _ := strings.Cut(key, "/")
			if first, ok := t.first(num); ok && len(bits)*8 > t.part {
				large = append(large, tallyKey{job, key, first})
			}
		}
	}
	slices.SortFunc(large, func(a, b tallyKey) int { return cmp.Compare(a.key, b.key) })
	for _, k := range large {
		t.splitEntry(k, t.entries[k.job][k.key])
	}
}

// splitEntry puts an entry in parts. It stays as it is until the parts after the first
// are durable: what is read after a holder's end may tell of a task twice, and never not
// at all.
func (t *tallies) splitEntry(k tallyKey, bits []byte) {
	step := t.part / 8
	left := 1
	durable := func(time.Time) {
		if left--; left == 0 {
			t.cutEntry(k, step)
		}
	}
	for at := 0; at < len(bits); at += step {
		first := k.first + at*8
		part := tallyKey{k.job, partKey(k.job, first), first}
		if part.key != k.key {
			left++
			t.put(part, bits[at:min(len(bits), at+step)], durable)
		}
	}
	durable(time.Time{})
}

// cutEntry takes what other entries hold by now off an entry: all of it, or all but the
// first part where that has the same key.
func (t *tallies) cutEntry(k tallyKey, step int) {
	bits, open := t.entries[k.job][k.key] // newer completions may have been added
	switch {
	case !open:
	case k.key != partKey(k.job, k.first):
		t.pages.Drop(k.key)
		delete(t.entries[k.job], k.key)
	case len(bits) > step:
		t.put(k, bits[:step], func(time.Time) {})
	}
}

// save enters a job's completions; job finds it again once they are durable.
func (t *tallies) save(j *placement.Job, job func(id string) *placement.Job) {
	id := j.Spec.ID
	for _, e := range t.layout(id, j.Spec.Tasks) {
		fresh, bits := j.UnsavedCompletions(e.first, e.next)
		if len(fresh) == 0 {
			continue
		}
		t.put(tallyKey{id, e.key, e.first}, bits, func(time.Time) {
			if j := job(id); j != nil {
				for _, n := range fresh {
					j.MarkDurable(n)
				}
			}
		})
	}
}

// drop removes a job that is over.
func (t *tallies) drop(id string) {
	for key := range t.entries[id] {
		t.pages.Drop(key)
	}
	delete(t.entries, id)
}
