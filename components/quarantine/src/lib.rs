//! Package `quarantine` of hornbeamrock.
