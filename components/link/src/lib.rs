//! Package `link` of hornbeamrock.
