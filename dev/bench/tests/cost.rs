//! Fitted lines and parsing of the kernel's files about a process.

use std::time::Duration;

use hornbeamrock_bench::cost::fit::Line;
use hornbeamrock_bench::proc;

#[test]
fn a_line_is_fitted_through_points_on_it() {
    let line = Line::fit(&[(8.0, 10.0), (32.0, 16.0), (96.0, 32.0)]).unwrap();
    assert!((line.base - 8.0).abs() < 1e-9);
    assert!((line.slope - 0.25).abs() < 1e-9);
    assert!((line.value_at(600.0) - 158.0).abs() < 1e-9);
}

#[test]
fn fewer_than_two_sizes_give_no_line() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[(3.0, 1.0), (3.0, 2.0)]), None);
}

#[test]
fn processor_time_and_memory_are_parsed_from_the_kernels_files() {
    let stat = "7 (a ) b) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 4 0 1 1 1";
    assert_eq!(proc::parse_cpu_time(stat), Duration::from_secs(2));
    assert_eq!(proc::parse_cpu_time(""), Duration::ZERO);
    let status = "Name:\tx\nVmRSS:\t  9000 kB\nRssAnon:\t    2048 kB\n";
    assert_eq!(proc::parse_anonymous_bytes(status), 2 << 20);
}
