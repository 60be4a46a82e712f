//! The program as a process: settings, signals, exit codes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hornbeamrock");

fn settings(name: &str, node: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
    let text = format!(
        r#"{{"Node": "{node}", "Zone": "zone-a", "Ip": "127.0.0.1", "Limits": {{"Cpus": 1}},
            "Listen": {{"Front": "127.0.0.1:0", "Ready": "127.0.0.1:0"}},
            "Provider": {{"Address": "127.0.0.1:1"}}, "Bounds": {{"GraceS": 3}}}}"#
    );
    fs::write(&path, text).expect("a file");
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
            .expect("it starts");
        let stdout = child.stdout.take().expect("piped");
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
            .expect("the line comes")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("it lives");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn can_live_on_when_its_settings_change() {
    // The platform changes the settings file and sends the signal for it. Unheard, that
    // signal ends a process, and every front would die at the same moment.
    let path = settings("hornbeamrock-hup", "front-1");
    let mut process = Process::start(&path);
    process.wait_for("started");
    process.signal(Signal::HUP);
    let line = process.wait_for("settings-read");
    assert!(line.contains("same=true"), "{line}");
    settings("hornbeamrock-hup", "front-2");
    process.signal(Signal::HUP);
    let line = process.wait_for("settings-read");
    assert!(line.contains("same=false"), "{line}");
    fs::write(&path, "{").expect("a file");
    process.signal(Signal::HUP);
    process.wait_for("settings-malformed");
    process.signal(Signal::TERM);
    process.wait_for("left");
    let status = process.child.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    fs::remove_file(path).expect("its own file");
}

#[test]
fn errors_with_code_2_and_the_field_when_settings_cannot_be_used() {
    let path = settings("hornbeamrock-odd", "");
    let output = Command::new(PROGRAM)
        .arg("front")
        .env("HORNBEAMROCK_BOOT", &path)
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("Node is empty"), "{said}");
    fs::remove_file(path).expect("its own file");
}
