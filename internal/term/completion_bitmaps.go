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

// bitmapKey names an entry of a job's bitmaps.
type bitmapKey struct {
	job, key string
	first    int // the entry's first task
}

// newCompletionBitmaps makes an empty record; valueKB is the present limit for a value.
func newCompletionBitmaps(pages *store.Pages, valueKB float64) *completionBitmaps {
	b := &completionBitmaps{
		pages:      pages,
		chunkTasks: int(valueKB*1024) * tuning.CompletionBitsPerByte,
		entries:    map[string]map[string][]byte{},
	}
	b.entryTasks = tasksPerEntry(pages.MaxEntryBytes())
	pages.OnLimitLowered = b.splitLargeEntries
	return b
}

// tasksPerEntry is how many tasks an entry may hold that takes a page's size at most. Base64
// takes four bytes for three.
func tasksPerEntry(size int) int { return max(1, (size-tuning.CompletionNameBytes)*3/4) * 8 }

// completionPrefix is the key prefix of the pages of a shard's completion bitmaps.
func completionPrefix(shard int) string { return "t/" + strconv.Itoa(shard) + "/" }

// bitmapRange is a range of a job's tasks that one entry holds.
type bitmapRange struct {
	key         string
	first, next int // the range is first to next-1
}

// layout lists the entries that hold a job's tasks: each chunk whole where it fits, as
// earlier versions keep it, otherwise in parts.
func (b *completionBitmaps) layout(job string, tasks int) (out []bitmapRange) {
	for first := 0; first < tasks; first += b.chunkTasks {
		next := min(first+b.chunkTasks, tasks)
		if next-first <= b.entryTasks {
			out = append(out, bitmapRange{job + "/" + strconv.Itoa(first/b.chunkTasks), first, next})
			continue
		}
		for at := first; at < next; at += b.entryTasks {
			out = append(out, bitmapRange{partKey(job, at), at, min(at+b.entryTasks, next)})
		}
	}
	return out
}

func partKey(job string, first int) string { return job + "/@" + strconv.Itoa(first) }

// firstTask is the first task of the entry with a key.
func (b *completionBitmaps) firstTask(part string) (int, bool) {
	if at, ok := strings.CutPrefix(part, "@"); ok {
		n, err := strconv.Atoi(at)
		return n, err == nil && n >= 0
	}
	n, err := strconv.Atoi(part)
	return n * b.chunkTasks, err == nil && n >= 0 && n <= wire.MaxTasksPerJob
}

// put writes an entry to its page; then is called once it is durable.
func (b *completionBitmaps) put(k bitmapKey, bits []byte, then func(now time.Time)) {
	b.remember(k, bits)
	b.pages.Put(k.key, bits, then)
}

func (b *completionBitmaps) remember(k bitmapKey, bits []byte) {
	if b.entries[k.job] == nil {
		b.entries[k.job] = map[string][]byte{}
	}
	b.entries[k.job][k.key] = bits
}

// load recovers what an earlier term wrote; openJob finds an open job. Entries of jobs that
// have ended are deleted.
func (b *completionBitmaps) load(pages []wire.KeyValue, openJob func(id string) *placement.Job) {
	b.pages.Load(pages, func(key string, raw json.RawMessage) {
		id, part, _ := strings.Cut(key, "/")
		first, ok := b.firstTask(part)
		job := openJob(id)
		var bits []byte
		if job == nil || !ok || json.Unmarshal(raw, &bits) != nil {
			b.pages.Delete(key)
			return
		}
		b.remember(bitmapKey{id, key, first}, bits)
		recoverTasks(job, first, bits)
	})
	b.splitLargeEntries()
}

// recoverTasks marks the tasks as durably completed whose bits are set.
func recoverTasks(job *placement.Job, first int, bits []byte) {
	for i, octet := range bits {
		for bit := range 8 {
			if octet&(1<<bit) != 0 {
				job.RestoreCompleted(first + i*8 + bit)
			}
		}
	}
}

// splitLargeEntries divides entries that are larger than a page may be. The size of pages may
// have become smaller because the service rejected one.
func (b *completionBitmaps) splitLargeEntries() {
	b.entryTasks = tasksPerEntry(b.pages.MaxEntryBytes())
	var large []bitmapKey
	for job, entries := range b.entries {
		for key, bits := range entries {
			_, num, _ := strings.Cut(key, "/")
			if first, ok := b.firstTask(num); ok && len(bits)*8 > b.entryTasks {
				large = append(large, bitmapKey{job, key, first})
			}
		}
	}
	slices.SortFunc(large, func(one, other bitmapKey) int { return cmp.Compare(one.key, other.key) })
	for _, k := range large {
		b.splitEntry(k, b.entries[k.job][k.key])
	}
}

// splitEntry divides an entry into parts. It stays as it is until the parts after the first
// are durable: a successor may read a task twice, and never not at all.
func (b *completionBitmaps) splitEntry(k bitmapKey, bits []byte) {
	step := b.entryTasks / 8
	left := 1
	durable := func(time.Time) {
		if left--; left == 0 {
			b.trimEntry(k, step)
		}
	}
	for at := 0; at < len(bits); at += step {
		first := k.first + at*8
		part := bitmapKey{k.job, partKey(k.job, first), first}
		if part.key != k.key {
			left++
			b.put(part, bits[at:min(len(bits), at+step)], durable)
		}
	}
	durable(time.Time{})
}

// trimEntry removes what other entries hold by now from an entry: all of it, or all but the
// first part where that has the same key.
func (b *completionBitmaps) trimEntry(k bitmapKey, step int) {
	bits, open := b.entries[k.job][k.key] // newer completions may have been added
	switch {
	case !open:
	case k.key != partKey(k.job, k.first):
		b.pages.Delete(k.key)
		delete(b.entries[k.job], k.key)
	case len(bits) > step:
		b.put(k, bits[:step], func(time.Time) {})
	}
}

// save records a job's completions; openJob finds the job again once they are durable.
func (b *completionBitmaps) save(job *placement.Job, openJob func(id string) *placement.Job) {
	id := job.Spec.ID
	for _, entry := range b.layout(id, job.Spec.Tasks) {
		unsaved, bits := job.UnsavedCompletions(entry.first, entry.next)
		if len(unsaved) == 0 {
			continue
		}
		b.put(bitmapKey{id, entry.key, entry.first}, bits, func(time.Time) {
			if job := openJob(id); job != nil {
				for _, task := range unsaved {
					job.MarkDurable(task)
				}
			}
		})
	}
}

// forget removes a job that has ended.
func (b *completionBitmaps) forget(id string) {
	for key := range b.entries[id] {
		b.pages.Delete(key)
	}
	delete(b.entries, id)
}
