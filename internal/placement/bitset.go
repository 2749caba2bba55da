package placement

// bitset is a set of task indexes.
type bitset struct {
	words []uint64
	count int
}

func newBitset(n int) bitset { return bitset{words: make([]uint64, (n+63)/64)} }

func (b *bitset) has(n int) bool { return b.words[n/64]&(1<<(n%64)) != 0 }

// add adds n to the set and reports whether n was missing before.
func (b *bitset) add(n int) bool {
	if b.has(n) {
		return false
	}
	b.words[n/64] |= 1 << (n % 64)
	b.count++
	return true
}
