package duty

// EraSize is how many numbers each era of the store has for fencing numbers, and for epochs of formations. Both are
// stored as JSON integers below 2^53.
const EraSize = 1_000_000_000_000

// FirstOfEra returns the number that precedes those of an era. Rows that count numbers go back with a store that is
// restored from an older copy; numbers that an earlier era assigned are lower than this one in any case. The numbers of
// the first era begin at 1.
func FirstOfEra(era uint64) uint64 { return (max(era, 1) - 1) * EraSize }

// EraStart returns the number that precedes those of the era in which a fencing number was assigned.
func EraStart(fence uint64) uint64 { return fence / EraSize * EraSize }
