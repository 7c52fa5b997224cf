//! Entry point of the `nutmegfold` binary.
fn main() {}
