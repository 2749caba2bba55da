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

// completionBitmaps stores bitmaps of the completed tasks of open jobs. Each entry covers a range of one
// job's tasks, and a page of the state service holds many entries.
//
// The keys are compatible with earlier versions. JOB/N is the Nth chunk of a size that follows from the
// current value size limit. A chunk that exceeds the limit for an entry is stored as several parts,
// JOB/@FIRST, where FIRST is the number of the first task and independent of any limit. Earlier versions
// discard parts and run the completed tasks of such jobs again after a rollback. Such a task exits once
// its image is pulled, because its results already exist.
type completionBitmaps struct {
	pages      *store.Pages
	chunkTasks int                          // tasks per chunk
	entryTasks int                          // maximum tasks per entry
	entries    map[string]map[string][]byte // bitmaps by job and key, as last written or read
}

// bitmapKey identifies an entry of a job's bitmaps.
type bitmapKey struct {
	job, key string
	first    int // number of the entry's first task
}

// newCompletionBitmaps returns bitmaps without entries. valueKB is the current value size limit, in KiB.
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

// tasksPerEntry returns the maximum number of tasks in an entry of at most size bytes. Base64 encodes
// three bytes as four.
func tasksPerEntry(size int) int { return max(1, (size-tuning.CompletionNameBytes)*3/4) * 8 }

// completionPrefix returns the key prefix of the pages of a shard's completion bitmaps.
func completionPrefix(shard int) string { return "t/" + strconv.Itoa(shard) + "/" }

// entryRange is the range of a job's tasks that one entry covers.
type entryRange struct {
	key         string
	first, next int // first task, and the task after the last one
}

// layout returns the entries that cover a job's tasks. A chunk is one entry if it fits, in the format of
// earlier versions, and is split into parts otherwise.
func (b *completionBitmaps) layout(job string, tasks int) (out []entryRange) {
	for first := 0; first < tasks; first += b.chunkTasks {
		next := min(first+b.chunkTasks, tasks)
		if next-first <= b.entryTasks {
			out = append(out, entryRange{job + "/" + strconv.Itoa(first/b.chunkTasks), first, next})
			continue
		}
		for at := first; at < next; at += b.entryTasks {
			out = append(out, entryRange{partKey(job, at), at, min(at+b.entryTasks, next)})
		}
	}
	return out
}

// partKey returns the key of the part that starts at task first.
func partKey(job string, first int) string { return job + "/@" + strconv.Itoa(first) }

// firstTask parses the last element of an entry's key and returns the number of the entry's first task.
func (b *completionBitmaps) firstTask(part string) (int, bool) {
	if at, ok := strings.CutPrefix(part, "@"); ok {
		n, err := strconv.Atoi(at)
		return n, err == nil && n >= 0
	}
	n, err := strconv.Atoi(part)
	return n * b.chunkTasks, err == nil && n >= 0 && n <= wire.MaxTasksPerJob
}

// put writes an entry to its page and calls done once the entry is durable.
func (b *completionBitmaps) put(k bitmapKey, bits []byte, done func(now time.Time)) {
	b.cacheEntry(k, bits)
	b.pages.Put(k.key, bits, done)
}

func (b *completionBitmaps) cacheEntry(k bitmapKey, bits []byte) {
	if b.entries[k.job] == nil {
		b.entries[k.job] = map[string][]byte{}
	}
	b.entries[k.job][k.key] = bits
}

// load restores the completions that earlier terms wrote. openJob returns an open job, or nil. Malformed
// entries and entries of jobs that are not open are deleted.
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
		b.cacheEntry(bitmapKey{id, key, first}, bits)
		restoreCompletions(job, first, bits)
	})
	b.splitLargeEntries()
}

// restoreCompletions marks the tasks whose bits are set as durably completed.
func restoreCompletions(job *placement.Job, first int, bits []byte) {
	for i, value := range bits {
		for bit := range 8 {
			if value&(1<<bit) != 0 {
				job.RestoreCompleted(first + i*8 + bit)
			}
		}
	}
}

// splitLargeEntries splits entries that exceed the current page size, which shrinks when the state
// service rejects a page as too large.
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

// splitEntry splits an entry into parts. The entry is trimmed only after all other parts are durable, so
// that a successor may read a completion twice but never misses one.
func (b *completionBitmaps) splitEntry(k bitmapKey, bits []byte) {
	step := b.entryTasks / 8
	pending := 1
	durable := func(time.Time) {
		if pending--; pending == 0 {
			b.trimEntry(k, step)
		}
	}
	for at := 0; at < len(bits); at += step {
		first := k.first + at*8
		part := bitmapKey{k.job, partKey(k.job, first), first}
		if part.key != k.key {
			pending++
			b.put(part, bits[at:min(len(bits), at+step)], durable)
		}
	}
	durable(time.Time{})
}

// trimEntry removes the tasks that other parts cover from a split entry. It deletes the entry, or
// truncates it to the first part if that has the same key.
func (b *completionBitmaps) trimEntry(k bitmapKey, step int) {
	bits, open := b.entries[k.job][k.key] // may include completions added since the split
	switch {
	case !open:
	case k.key != partKey(k.job, k.first):
		b.pages.Delete(k.key)
		delete(b.entries[k.job], k.key)
	case len(bits) > step:
		b.put(k, bits[:step], func(time.Time) {})
	}
}

// save writes a job's new completions. openJob returns the job, or nil, once they are durable.
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

// deleteJob deletes the entries of a closed job.
func (b *completionBitmaps) deleteJob(id string) {
	for key := range b.entries[id] {
		b.pages.Delete(key)
	}
	delete(b.entries, id)
}
