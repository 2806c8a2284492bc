use std::mem;

/// Bits of the mixed nonce that select a shard. With 1,024 shards an insertion into a set of seven
/// million nonces moves about 28 KB.
const SHARD_BITS: u32 = 10;

/// Exact set of nonces that only grows, in sorted shards of 8 bytes per nonce.
///
/// Spare room per shard is at most an eighth, which a hash set cannot offer: it doubles, and holds
/// both tables while it does.
pub(super) struct NonceSet {
    shards: Vec<Vec<u64>>,
    capacity: usize,
}

impl NonceSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self { shards: vec![Vec::new(); 1 << SHARD_BITS], capacity: 0 }
    }

    /// Whether the nonce was inserted.
    pub fn contains(&self, nonce: u64) -> bool {
        let mixed = mix(nonce);
        self.shards[shard_of(mixed)].binary_search(&mixed).is_ok()
    }

    /// Adds a nonce.
    pub fn insert(&mut self, nonce: u64) {
        let mixed = mix(nonce);
        let shard = &mut self.shards[shard_of(mixed)];
        let Err(at) = shard.binary_search(&mixed) else { return };
        if shard.len() == shard.capacity() {
            let before = shard.capacity();
            shard.reserve_exact((shard.len() / 8).max(4));
            self.capacity += shard.capacity() - before;
        }
        shard.insert(at, mixed);
    }

    /// Memory of the nonces, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.capacity * mem::size_of::<u64>()
    }
}

fn shard_of(mixed: u64) -> usize {
    (mixed >> (u64::BITS - SHARD_BITS)) as usize
}

/// Spreads nonces that are not random over the shards. It is one-to-one, so the set stays exact:
/// the finaliser of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators", 2014).
fn mix(nonce: u64) -> u64 {
    let z = (nonce ^ (nonce >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
