//! Package `sidecar` of hornbeamrock.
