//! Runs of the bench program, several in parallel.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::thread;

use serde_json::Value;

use crate::AblateError;
use crate::scratch::run;

/// A day of the bench at a site, with a seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BenchRun {
    /// Site file that is passed to the bench.
    pub site: PathBuf,
    /// Name of the day, as the bench knows it.
    pub day: String,
    /// Seed that is passed to the bench.
    pub seed: u64,
}

/// The bench program.
pub struct Bench {
    /// Path of the executable.
    pub program: PathBuf,
    /// Number of runs in parallel; 0 counts as 1.
    pub jobs: usize,
}

/// Result of a bench run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Overall result of the day, the report's `G`; higher is better.
    pub worth: f64,
    /// Names of the rules that the run broke, the keys of the report's `breaks`.
    pub broken: Vec<String>,
}

/// Outcomes by root of the scratch clone and bench run.
pub type Outcomes = BTreeMap<(PathBuf, BenchRun), Outcome>;

/// Root of a scratch clone and a bench run to start in it.
type ScratchRun<'a> = (&'a Path, &'a BenchRun);

/// Builds each clone, then runs each bench run in each clone, alternating between clones. After
/// an error no further runs start.
pub fn run_all(
    bench: &Bench,
    roots: &[&Path],
    bench_runs: &[BenchRun],
) -> Result<Outcomes, AblateError> {
    for root in roots {
        build(bench, root)?;
    }
    let mut queue: Vec<ScratchRun<'_>> = bench_runs
        .iter()
        .flat_map(|bench_run| roots.iter().map(move |root| (*root, bench_run)))
        .collect();
    queue.reverse();
    let queue = Mutex::new(queue);
    let outcomes = Mutex::new(BTreeMap::new());
    let failure = Mutex::new(None);
    thread::scope(|scope| {
        for _ in 0..bench.jobs.max(1) {
            scope.spawn(|| {
                while let Some((root, bench_run)) = next_run(&queue) {
                    match run_one(bench, root, bench_run) {
                        Ok(outcome) => {
                            lock(&outcomes).insert((root.to_owned(), bench_run.clone()), outcome);
                        }
                        Err(error) => {
                            *lock(&failure) = Some(error);
                            lock(&queue).clear();
                        }
                    }
                }
            });
        }
    });
    let failure = failure
        .into_inner()
        .unwrap_or_else(|lock_error| lock_error.into_inner());
    match failure {
        Some(error) => Err(error),
        None => Ok(outcomes
            .into_inner()
            .unwrap_or_else(|lock_error| lock_error.into_inner())),
    }
}

fn next_run<'a>(queue: &Mutex<Vec<ScratchRun<'a>>>) -> Option<ScratchRun<'a>> {
    lock(queue).pop()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // A poisoned lock is usable: each change of the data is a single assignment or insertion.
    mutex
        .lock()
        .unwrap_or_else(|lock_error| lock_error.into_inner())
}

fn build(bench: &Bench, root: &Path) -> Result<(), AblateError> {
    let mut command = Command::new(&bench.program);
    command.arg("build").current_dir(root);
    run(&mut command, "the build")
}

fn run_one(bench: &Bench, root: &Path, bench_run: &BenchRun) -> Result<Outcome, AblateError> {
    let site = bench_run
        .site
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy();
    let name = format!("report-{site}-{}-{}.json", bench_run.day, bench_run.seed);
    let report = root.join("target").join(name);
    let mut command = Command::new(&bench.program);
    command
        .arg("run")
        .arg(&bench_run.site)
        .arg(&bench_run.day)
        .args(["--seed", &bench_run.seed.to_string(), "--jobs", "1"])
        .args(["--why", "ablation, a trial"])
        .arg("--report")
        .arg(&report)
        .current_dir(root);
    run(
        &mut command,
        &format!("{site} {} {}", bench_run.day, bench_run.seed),
    )?;
    read_report(&report)
}

fn read_report(path: &Path) -> Result<Outcome, AblateError> {
    let text = std::fs::read_to_string(path)
        .map_err(|reason| AblateError::File(path.to_owned(), reason))?;
    let missing = || AblateError::MissingWorth(path.to_owned());
    let report: Value = serde_json::from_str(&text).map_err(|_| missing())?;
    let worth = report["G"].as_f64().ok_or_else(missing)?;
    let broken = report["breaks"].as_object().ok_or_else(missing)?;
    Ok(Outcome {
        worth,
        broken: broken.keys().cloned().collect(),
    })
}
