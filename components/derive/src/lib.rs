//! The project's common sets of derives, one attribute a set.
//!
//! An attribute only puts a `#[derive(...)]` line before the item it stands on, so
//! that every plain value of the project has the same traits and a reader sees at
//! the type which kind of value it is.

use proc_macro::TokenStream;

const VALUE: &str = "#[derive(Clone, Debug, PartialEq, Eq)]";
const KEY: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]";
const WIRE: &str =
    "#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]";
const WIRE_KEY: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, \
                        ::serde::Serialize, ::serde::Deserialize)]";

/// A plain value: cloned, compared and printed.
#[proc_macro_attribute]
pub fn value(_settings: TokenStream, item: TokenStream) -> TokenStream {
    derived(VALUE, item)
}

/// A small copyable value that orders and hashes.
#[proc_macro_attribute]
pub fn key(_settings: TokenStream, item: TokenStream) -> TokenStream {
    derived(KEY, item)
}

/// A plain value that also goes over the wire through `serde`.
#[proc_macro_attribute]
pub fn wire(_settings: TokenStream, item: TokenStream) -> TokenStream {
    derived(WIRE, item)
}

/// A small copyable value that orders, hashes and goes over the wire.
#[proc_macro_attribute]
pub fn wire_key(_settings: TokenStream, item: TokenStream) -> TokenStream {
    derived(WIRE_KEY, item)
}

fn derived(set: &str, item: TokenStream) -> TokenStream {
    // The sets above are constants of this crate, so the parse cannot fail; an
    // empty stream would only leave the derives out and the compiler would say so.
    let mut out: TokenStream = set.parse().unwrap_or_default();
    out.extend(item);
    out
}
