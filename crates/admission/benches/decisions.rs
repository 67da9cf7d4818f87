//! Costs of the decision functions.

fn main() {}
