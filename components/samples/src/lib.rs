//! Package `samples` of hornbeamrock.
