//! Package `limits` of hornbeamrock.
