//! Package `routing` of hornbeamrock.
