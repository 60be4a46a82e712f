//! Binary of hornbeamrock.

fn main() {}
