//! Text that the engine generates: a pure function of prompt, seed, position and version.

use types::WeightVersion;

use super::settings::EngineSettings;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const STRAGGLER_FACTOR: u32 = 4;
const PERMILLE: u64 = 1_000;

/// Hash of a sequence of texts (FNV-1a with a final mix). Texts that are split
/// differently have different hashes.
pub fn text_hash(texts: &[&str]) -> u64 {
    let mut hash = FNV_OFFSET;
    for text in texts {
        for byte in text.bytes().chain([0]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(hash)
}

/// Mixes the bits of a number (a step of SplitMix64).
pub(super) fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Id of the token that `version` generates at a position.
pub(super) fn token_id(content_hash: u64, position: u32, version: WeightVersion) -> u32 {
    let version_hash = version.fencing_number().wrapping_mul(FNV_PRIME);
    (mix(content_hash ^ version_hash ^ u64::from(position)) & 0xffff) as u32
}

/// Text of a token, such as `" 3fa9@1.7"`.
pub(super) fn token_text(id: u32, version: WeightVersion) -> String {
    format!(" {id:04x}@{version}")
}

/// Tokens of a completion that `max_tokens` does not limit.
pub(super) fn natural_length(content_hash: u64, settings: &EngineSettings) -> u32 {
    let span = u64::from(settings.tokens_max.saturating_sub(settings.tokens_min)) + 1;
    let tokens = settings.tokens_min + (content_hash % span) as u32;
    let is_straggler = mix(content_hash) % PERMILLE < settings.stragglers_permille;
    if is_straggler {
        tokens * STRAGGLER_FACTOR
    } else {
        tokens
    }
}

/// Versions that generated a text, without duplicates, in the order of the text.
pub fn versions_in(text: &str) -> Vec<WeightVersion> {
    let mut versions = Vec::new();
    let stamps = text.split_whitespace();
    for version in stamps.filter_map(|token| token.split_once('@')?.1.parse().ok()) {
        if !versions.contains(&version) {
            versions.push(version);
        }
    }
    versions
}
