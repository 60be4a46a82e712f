//! Package `leaving` of hornbeamrock.
