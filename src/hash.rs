//! Hash maps with a fast hasher, stable hashes for identities, and rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

/// Hash map with a fast hasher, for keys that callers do not choose: the hasher does not resist crafted collisions.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher, for keys that callers do not choose: the hasher does not resist crafted collisions.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Stable 64-bit hash of a text, the same in every process and release.
pub fn name(text: impl AsRef<str>) -> u64 {
    xxh3_64(text.as_ref().as_bytes())
}

/// Stable 64-bit hash of a sequence of numbers, the same in every process and release.
pub fn numbers(parts: impl IntoIterator<Item = u64>) -> u64 {
    let bytes: Vec<u8> = parts.into_iter().flat_map(u64::to_le_bytes).collect();
    xxh3_64(&bytes)
}

/// Orders candidates by rendezvous hashing of `subject`, highest score first.
///
/// Removing a candidate changes the first candidate only of those subjects for which it is first.
pub fn rendezvous(subject: u64, candidates: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut scored: Vec<(u64, u64)> =
        candidates.into_iter().map(|candidate| (numbers([subject, candidate]), candidate)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an owner change of subjects whose owner is not the removed candidate.
    #[test]
    fn removing_a_candidate_moves_only_its_subjects() {
        let all: Vec<u64> = (1..=9).collect();
        for subject in 0..500 {
            let before = rendezvous(subject, all.iter().copied());
            let without: Vec<u64> = all.iter().copied().filter(|c| *c != 5).collect();
            let after = rendezvous(subject, without);
            if before[0] != 5 {
                assert_eq!(before[0], after[0]);
            } else {
                assert_eq!(before[1], after[0]);
            }
        }
    }
}
