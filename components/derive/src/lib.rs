//! Attributes for the sets of derives that the project uses.
//!
//! Each attribute only adds a `#[derive(...)]` line to its item. All types of the same kind then
//! implement the same traits, and the attribute shows the kind of a type where it is defined.

use proc_macro::TokenStream;

const VALUE: &str = "#[derive(Clone, Debug, PartialEq, Eq)]";
const KEY: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const WIRE: &str =
    "#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]";
const WIRE_KEY: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, \
                        ::serde::Serialize, ::serde::Deserialize)]";

/// Derives for a plain value: it can be cloned, compared for equality and printed with `Debug`.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE, item)
}

/// Derives for a small `Copy` value that can also be ordered and hashed, such as a map key.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY, item)
}

/// Derives for a plain value that is also serialized with `serde`.
#[proc_macro_attribute]
pub fn wire(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(WIRE, item)
}

/// Derives for a small `Copy` value that can be ordered, hashed and serialized with `serde`.
#[proc_macro_attribute]
pub fn wire_key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(WIRE_KEY, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    // `derives` is always one of the constants above, so parsing cannot fail. If it did, the
    // derives would be missing, and code that uses the traits would not compile.
    let mut out: TokenStream = derives.parse().unwrap_or_default();
    out.extend(item);
    out
}
