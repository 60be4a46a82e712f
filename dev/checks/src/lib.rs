//! Reproducible property-based tests, and random numbers for them.
//!
//! Cases are generated from a fixed seed, so that a failure in CI can be reproduced anywhere.
//! [`SEED_VARIABLE`] sets another seed to try other cases. Each test prints its seed, which the
//! test runner shows if the test fails.

use quickcheck::{Gen, QuickCheck, Testable};

/// Environment variable that overrides the seed with another number.
pub const SEED_VARIABLE: &str = "HORNBEAMROCK_CHECK_SEED";
/// Seed if [`SEED_VARIABLE`] is unset or not a number.
const DEFAULT_SEED: u64 = 7;
/// Bound of the size of generated values; the default of `quickcheck`.
const SIZE: usize = 100;

/// Seed of this run.
pub fn seed() -> u64 {
    let set = std::env::var(SEED_VARIABLE).ok();
    set.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

/// A standard normal random number, from uniform ones between 0 and 1 (Box and Muller).
pub fn normal(mut uniform: impl FnMut() -> f64) -> f64 {
    let radius = (-2.0 * (1.0 - uniform()).ln()).sqrt();
    radius * (std::f64::consts::TAU * uniform()).cos()
}

/// Checks a property with cases generated from [`seed`]; panics if a case fails.
pub fn check(property: impl Testable) {
    let seed = seed();
    println!("cases are generated with {SEED_VARIABLE}={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .quickcheck(property);
}

/// Defines a test for each property, like `quickcheck!`, with cases generated from [`seed`].
#[macro_export]
macro_rules! seeded {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $ty:ty),* $(,)?) -> $ret:ty $body:block)*) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                fn property($($arg: $ty),*) -> $ret $body
                $crate::check(property as fn($($ty),*) -> $ret);
            }
        )*
    };
}
