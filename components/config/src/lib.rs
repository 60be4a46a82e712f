//! Package `config` of hornbeamrock.
