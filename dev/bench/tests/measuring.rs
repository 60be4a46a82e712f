//! Straight lines and the kernel's texts.

use std::time::Duration;

use hornbeamrock_bench::cost::fit::Line;
use hornbeamrock_bench::proc;

#[test]
fn a_line_goes_through_its_points() {
    let line = Line::through(&[(8.0, 10.0), (32.0, 16.0), (96.0, 32.0)]).unwrap();
    assert!((line.base - 8.0).abs() < 1e-9);
    assert!((line.slope - 0.25).abs() < 1e-9);
    assert!((line.at(600.0) - 158.0).abs() < 1e-9);
}

#[test]
fn one_size_makes_no_line() {
    assert_eq!(Line::through(&[]), None);
    assert_eq!(Line::through(&[(3.0, 1.0), (3.0, 2.0)]), None);
}

#[test]
fn can_read_the_kernels_texts() {
    let stat = "7 (a ) b) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 4 0 1 1 1";
    assert_eq!(proc::cpu_in(stat), Duration::from_secs(2));
    assert_eq!(proc::cpu_in(""), Duration::ZERO);
    let status = "Name:\tx\nVmRSS:\t  9000 kB\nRssAnon:\t    2048 kB\n";
    assert_eq!(proc::memory_in(status), 2 << 20);
}
