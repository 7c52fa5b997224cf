//! Similarity of names, for "did you mean" suggestions.

/// Suggests the most similar name in `known`, as the end of a message; empty if none is similar.
///
/// A name is similar if the edit distance is at most a third of the length, or 1 for short names.
pub(crate) fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let limit = (name.chars().count() / 3).max(1);
    known
        .into_iter()
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| format!("; did you mean `{candidate}`?"))
        .unwrap_or_default()
}

/// Levenshtein distance between two texts, in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, left) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, right) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(left != *right);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against suggestions of unrelated names.
    #[test]
    fn suggestion_names_only_similar_candidates() {
        assert_eq!(suggestion("memry", ["cores", "memory"]), "; did you mean `memory`?");
        assert_eq!(suggestion("colour", ["cores", "memory"]), "");
    }
}
