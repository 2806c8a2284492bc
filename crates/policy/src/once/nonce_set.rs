use std::mem;

/// Bits of the mixed nonce that select a shard. With 1,024 shards an insertion into a set of seven
/// million nonces moves about 28 KB.
const SHARD_BITS: u32 = 10;

/// Exact, grow-only set of nonces, stored in sorted shards with 8 bytes per nonce.
///
/// The spare capacity of a shard is at most an eighth. A hash set would need more memory, because
/// it doubles its capacity and holds both tables while it grows.
pub(super) struct NonceSet {
    shards: Vec<Vec<u64>>,
    capacity: usize,
}

impl NonceSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { shards: vec![Vec::new(); 1 << SHARD_BITS], capacity: 0 }
    }

    /// Whether the set contains the nonce.
    pub fn contains(&self, nonce: u64) -> bool {
        let mixed = mix(nonce);
        self.shards[shard_of(mixed)].binary_search(&mixed).is_ok()
    }

    /// Adds a nonce.
    pub fn insert(&mut self, nonce: u64) {
        let mixed = mix(nonce);
        let shard = &mut self.shards[shard_of(mixed)];
        let Err(index) = shard.binary_search(&mixed) else { return };
        if shard.len() == shard.capacity() {
            let old_capacity = shard.capacity();
            shard.reserve_exact((shard.len() / 8).max(4));
            self.capacity += shard.capacity() - old_capacity;
        }
        shard.insert(index, mixed);
    }

    /// Allocated memory of the nonces, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.capacity * mem::size_of::<u64>()
    }
}

fn shard_of(mixed: u64) -> usize {
    (mixed >> (u64::BITS - SHARD_BITS)) as usize
}

/// Mixes the bits of a nonce, so that nonces that are not random are spread evenly over the shards.
/// The mapping is one-to-one, so the set stays exact. It is the finaliser of SplitMix64 (Steele,
/// Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
fn mix(nonce: u64) -> u64 {
    let z = (nonce ^ (nonce >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
