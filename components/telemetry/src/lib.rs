//! Package `telemetry` of hornbeamrock.
