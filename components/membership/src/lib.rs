//! Package `membership` of hornbeamrock.
