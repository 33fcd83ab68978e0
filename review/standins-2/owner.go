package main

import (
	"encoding/binary"
	"math/bits"
)

// The primes of XXH64.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime3 uint64 = 1609587929392839161
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

func round(acc, in uint64) uint64 {
	return bits.RotateLeft64(acc+in*prime2, 31) * prime1
}

func mergeRound(acc, v uint64) uint64 {
	return (acc^round(0, v))*prime1 + prime4
}

// xxh64 returns the XXH64 hash of the text with seed 0.
func xxh64(text string) uint64 {
	b := []byte(text)
	n := uint64(len(b))
	h := prime5
	if len(b) >= 32 {
		v1, v2, v3, v4 := prime1, prime2, uint64(0), uint64(0)
		v1 += prime2
		v4 -= prime1
		for ; len(b) >= 32; b = b[32:] {
			v1 = round(v1, binary.LittleEndian.Uint64(b))
			v2 = round(v2, binary.LittleEndian.Uint64(b[8:]))
			v3 = round(v3, binary.LittleEndian.Uint64(b[16:]))
			v4 = round(v4, binary.LittleEndian.Uint64(b[24:]))
		}
		h = bits.RotateLeft64(v1, 1) + bits.RotateLeft64(v2, 7) + bits.RotateLeft64(v3, 12) + bits.RotateLeft64(v4, 18)
		for _, v := range []uint64{v1, v2, v3, v4} {
			h = mergeRound(h, v)
		}
	}
	h += n
	for ; len(b) >= 8; b = b[8:] {
		h = bits.RotateLeft64(h^round(0, binary.LittleEndian.Uint64(b)), 27)*prime1 + prime4
	}
	if len(b) >= 4 {
		h = bits.RotateLeft64(h^uint64(binary.LittleEndian.Uint32(b))*prime1, 23)*prime2 + prime3
		b = b[4:]
	}
	for _, c := range b {
		h = bits.RotateLeft64(h^uint64(c)*prime5, 11) * prime1
	}
	h = (h ^ h>>33) * prime2
	h = (h ^ h>>29) * prime3
	return h ^ h>>32
}

// heaviest returns the machine with the highest weight for the key, by which the nodes choose the one that keeps a refused
// request in the store.
func heaviest(machines []*machine, key string) *machine {
	best := machines[0]
	for _, m := range machines[1:] {
		if xxh64(m.inbound+"|"+key) > xxh64(best.inbound+"|"+key) {
			best = m
		}
	}
	return best
}
