//! Package `standins` of hornbeamrock.
