//! Failures of encoding and decoding.

use quick_error::quick_error;

quick_error! {
    /// Failure to encode or decode an owner's knowledge.
    #[derive(Debug)]
    pub enum KnowledgeError {
        /// The bytes can't be decoded.
        Decode(reason: postcard::Error) {
            source(reason)
            display("cannot decode the knowledge of a shard: {}", reason)
        }
        /// The value can't be encoded.
        Encode(reason: postcard::Error) {
            source(reason)
            display("cannot encode the knowledge of a shard: {}", reason)
        }
        /// The record has more bytes than any front writes.
        TooLarge(bytes: usize) {
            display("the knowledge of a shard has {} bytes", bytes)
        }
        /// Another release wrote the record.
        UnknownVersion(version: u32) {
            display("the knowledge of a shard has the unknown version {}", version)
        }
        /// The record at the location belongs to another shard or node, for example because the
        /// store lost its history and has assigned the offset again.
        OtherRecord(pool: String, shard: u16, node: String) {
            display("the knowledge is of shard {} of pool {}, written by {}", shard, pool, node)
        }
    }
}
