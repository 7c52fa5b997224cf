//! The capacity page.

use nutmegfold::bench::{page, slopes};

/// Guards against a capacity page that is outdated by a change of messages, counts or encodings. Update the page with
/// `nutmegfold bench slopes --page docs/CAPACITY.md --charts docs/charts`.
#[test]
fn page_has_the_exact_figures() {
    let found = slopes(false);
    let stored = include_str!("../docs/CAPACITY.md");
    let fresh = page::refresh(stored, &found).expect("all parts are there");
    for (stored, fresh) in stored.lines().zip(fresh.lines()) {
        assert_eq!(stored, fresh);
    }
    assert_eq!(stored.lines().count(), fresh.lines().count());
}
