//! Runs the program as a child process: settings file, signals and exit codes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hornbeamrock");

fn write_settings(name: &str, node: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
    let text = format!(
        r#"{{"Node": "{node}", "Zone": "zone-a", "Ip": "127.0.0.1", "Limits": {{"Cpus": 1}},
            "Listen": {{"Front": "127.0.0.1:0", "Ready": "127.0.0.1:0"}},
            "Provider": {{"Address": "127.0.0.1:1"}}, "Bounds": {{"GraceS": 3}}}}"#
    );
    fs::write(&path, text).expect("the settings file is written");
    path
}

struct Process {
    child: Child,
    lines: Box<dyn Iterator<Item = String>>,
}

impl Process {
    fn start(path: &PathBuf) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(["front", "--log-level", "info"])
            .env("HORNBEAMROCK_BOOT", path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let lines = BufReader::new(stdout).lines().map_while(Result::ok);
        Self {
            child,
            lines: Box::new(lines),
        }
    }

    fn wait_for(&mut self, event: &str) -> String {
        let wanted = format!("event={event}");
        self.lines
            .find(|line| line.contains(&wanted))
            .expect("the event is logged before the output ends")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process receives the signal");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn reloads_settings_on_sighup_and_keeps_running() {
    // The platform changes the settings file and sends SIGHUP. Without a handler SIGHUP ends a
    // process, and all fronts would die at the same time.
    let path = write_settings("hornbeamrock-hup", "front-1");
    let mut process = Process::start(&path);
    process.wait_for("started");
    process.signal(Signal::HUP);
    let line = process.wait_for("settings-read");
    assert!(line.contains("same=true"), "{line}");
    write_settings("hornbeamrock-hup", "front-2");
    process.signal(Signal::HUP);
    let line = process.wait_for("settings-read");
    assert!(line.contains("same=false"), "{line}");
    fs::write(&path, "{").expect("the settings file is overwritten");
    process.signal(Signal::HUP);
    process.wait_for("settings-malformed");
    process.signal(Signal::TERM);
    process.wait_for("left");
    let status = process.child.wait().expect("the process exits");
    assert_eq!(status.code(), Some(0));
    fs::remove_file(path).expect("the settings file is removed");
}

#[test]
fn exits_with_code_2_and_names_the_invalid_settings_field() {
    let path = write_settings("hornbeamrock-odd", "");
    let output = Command::new(PROGRAM)
        .arg("front")
        .env("HORNBEAMROCK_BOOT", &path)
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("Node is empty"), "{stderr}");
    fs::remove_file(path).expect("the settings file is removed");
}
