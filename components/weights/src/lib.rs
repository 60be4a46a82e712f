//! Package `weights` of hornbeamrock.
