//! Package `platform` of hornbeamrock.
