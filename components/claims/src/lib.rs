//! Package `claims` of hornbeamrock.
