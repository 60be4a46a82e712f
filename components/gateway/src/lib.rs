//! Package `gateway` of hornbeamrock.
