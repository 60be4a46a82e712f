//! Package `settings` of hornbeamrock.
