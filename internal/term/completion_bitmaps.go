package term

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

// completionBitmaps keeps which tasks of open jobs have completed, in chunks of a job's
// tasks, many to a page.
//
// What a key means is shared with earlier versions: JOB/N holds the Nth chunk of a size
// that follows from the present limit for a value. Where a chunk is more than the service
// will take after its limits fall, parts of it are kept instead, as JOB/@FIRST, by the
// number of their first task: they mean the same under any limit. An earlier version drops
// those, and has such jobs' completed tasks, a page's worth and more, run once more: their
// results are kept, so they end as soon as they have their image.
type completionBitmaps struct {
	pages      *store.Pages
	chunkTasks int                          // tasks, as earlier versions count them
	entryTasks int                          // tasks that one entry may hold
	entries    map[string]map[string][]byte // by job and key, as last put or read
}

// bitmapKey names an entry of a job's tallies.
type bitmapKey struct {
	job, key string
	first    int // the entry's first task
}

// newCompletionBitmaps makes an empty record; valueKB is the present limit for a value.
func newCompletionBitmaps(pages *store.Pages, valueKB float64) *completionBitmaps {
	t := &completionBitmaps{pages: pages, chunkTasks: int(valueKB*1024) * tuning.CompletionBitsPerByte, entries: map[string]map[string][]byte{}}
	t.entryTasks = tasksPerEntry(pages.MaxEntryBytes())
	pages.OnLimitLowered = t.splitLargeEntries
	return t
}

// tasksPerEntry is how many tasks an entry may hold that takes a page's size at most. Base64
// takes four bytes for three.
func tasksPerEntry(size int) int { return max(1, (size-tuning.CompletionNameBytes)*3/4) * 8 }

func completionPrefix(block int) string { return "t/" + strconv.Itoa(block) + "/" }

// bitmapRange is a range of a job's tasks that one entry holds.
type bitmapRange struct {
	key         string
	first, next int // the range is first to next-1
}

// layout lists the entries that hold a job's tasks: each chunk whole where it fits, as
// earlier versions keep it, otherwise in parts.
func (t *completionBitmaps) layout(job string, tasks int) (out []bitmapRange) {
	for first := 0; first < tasks; first += t.chunkTasks {
		next := min(first+t.chunkTasks, tasks)
		if next-first <= t.entryTasks {
			out = append(out, bitmapRange{job + "/" + strconv.Itoa(first/t.chunkTasks), first, next})
			continue
		}
		for at := first; at < next; at += t.entryTasks {
			out = append(out, bitmapRange{partKey(job, at), at, min(at+t.entryTasks, next)})
		}
	}
	return out
}

func partKey(job string, first int) string { return job + "/@" + strconv.Itoa(first) }

// firstTask is the first task of the entry with a key.
func (t *completionBitmaps) firstTask(num string) (int, bool) {
	if at, ok := strings.CutPrefix(num, "@"); ok {
		n, err := strconv.Atoi(at)
		return n, err == nil && n >= 0
	}
	n, err := strconv.Atoi(num)
	return n * t.chunkTasks, err == nil && n >= 0 && n <= wire.MaxTasksPerJob
}

// put enters an entry in its page; then is told once it is durable.
func (t *completionBitmaps) put(k bitmapKey, bits []byte, then func(now time.Time)) {
	t.remember(k, bits)
	t.pages.Put(k.key, bits, then)
}

func (t *completionBitmaps) remember(k bitmapKey, bits []byte) {
	if t.entries[k.job] == nil {
		t.entries[k.job] = map[string][]byte{}
	}
	t.entries[k.job][k.key] = bits
}

// load takes over what an earlier tenure wrote; job finds an open job.
func (t *completionBitmaps) load(items []wire.KeyValue, job func(id string) *placement.Job) {
	t.pages.Load(items, func(key string, raw json.RawMessage) {
		id, num, _ := strings.Cut(key, "/")
		first, ok := t.firstTask(num)
		j := job(id)
		var bits []byte
		if j == nil || !ok || json.Unmarshal(raw, &bits) != nil {
			t.pages.Delete(key)
			return
		}
		t.remember(bitmapKey{id, key, first}, bits)
		recoverTasks(j, first, bits)
	})
	t.splitLargeEntries()
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

// splitLargeEntries puts entries that are larger than a page may be in smaller ones. The page's size
// may have become smaller because the service refused one.
func (t *completionBitmaps) splitLargeEntries() {
	t.entryTasks = tasksPerEntry(t.pages.MaxEntryBytes())
	var large []bitmapKey
	for job, entries := range t.entries {
		for key, bits := range entries {
			_, num, _ := strings.Cut(key, "/")
			if first, ok := t.firstTask(num); ok && len(bits)*8 > t.entryTasks {
				large = append(large, bitmapKey{job, key, first})
			}
		}
	}
	slices.SortFunc(large, func(a, b bitmapKey) int { return cmp.Compare(a.key, b.key) })
	for _, k := range large {
		t.splitEntry(k, t.entries[k.job][k.key])
	}
}

// splitEntry puts an entry in parts. It stays as it is until the parts after the first
// are durable: what is read after a holder's end may tell of a task twice, and never not
// at all.
func (t *completionBitmaps) splitEntry(k bitmapKey, bits []byte) {
	step := t.entryTasks / 8
	left := 1
	durable := func(time.Time) {
		if left--; left == 0 {
			t.trimEntry(k, step)
		}
	}
	for at := 0; at < len(bits); at += step {
		first := k.first + at*8
		part := bitmapKey{k.job, partKey(k.job, first), first}
		if part.key != k.key {
			left++
			t.put(part, bits[at:min(len(bits), at+step)], durable)
		}
	}
	durable(time.Time{})
}

// trimEntry takes what other entries hold by now off an entry: all of it, or all but the
// first part where that has the same key.
func (t *completionBitmaps) trimEntry(k bitmapKey, step int) {
	bits, open := t.entries[k.job][k.key] // newer completions may have been added
	switch {
	case !open:
	case k.key != partKey(k.job, k.first):
		t.pages.Delete(k.key)
		delete(t.entries[k.job], k.key)
	case len(bits) > step:
		t.put(k, bits[:step], func(time.Time) {})
	}
}

// save enters a job's completions; job finds it again once they are durable.
func (t *completionBitmaps) save(j *placement.Job, job func(id string) *placement.Job) {
	id := j.Spec.ID
	for _, e := range t.layout(id, j.Spec.Tasks) {
		fresh, bits := j.UnsavedCompletions(e.first, e.next)
		if len(fresh) == 0 {
			continue
		}
		t.put(bitmapKey{id, e.key, e.first}, bits, func(time.Time) {
			if j := job(id); j != nil {
				for _, n := range fresh {
					j.MarkDurable(n)
				}
			}
		})
	}
}

// forget removes a job that is over.
func (t *completionBitmaps) forget(id string) {
	for key := range t.entries[id] {
		t.pages.Delete(key)
	}
	delete(t.entries, id)
}
