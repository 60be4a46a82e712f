//! Package `proof` of hornbeamrock.
