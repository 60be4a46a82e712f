//! Package `recovery` of hornbeamrock.
