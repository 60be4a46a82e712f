//! Playing days on the bench, a few at a time.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::thread;

use serde_json::Value;

use crate::AblateError;
use crate::scratch::run;

/// One day of one site with one seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Game {
    /// File of the site.
    pub site: PathBuf,
    /// Name of the day.
    pub day: String,
    /// Seed.
    pub seed: u64,
}

/// The program that plays days.
pub struct Bench {
    /// Its file.
    pub program: PathBuf,
    /// Days at a time.
    pub jobs: usize,
}

/// What a play came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Worth of the day.
    pub worth: f64,
    /// Names of the rules that were broken.
    pub broken: Vec<String>,
}

/// Outcomes by clone and day.
pub type Played = BTreeMap<(PathBuf, Game), Outcome>;

/// What is played where: a scratch clone and a day.
type Turn<'a> = (&'a Path, &'a Game);

/// Plays each game at each of the clones, in turns, and gives what each came to.
pub fn play_all(bench: &Bench, roots: &[&Path], games: &[Game]) -> Result<Played, AblateError> {
    for root in roots {
        build(bench, root)?;
    }
    let mut turns: Vec<Turn<'_>> = games
        .iter()
        .flat_map(|game| roots.iter().map(move |root| (*root, game)))
        .collect();
    turns.reverse();
    let turns = Mutex::new(turns);
    let played = Mutex::new(BTreeMap::new());
    let failure = Mutex::new(None);
    thread::scope(|scope| {
        for _ in 0..bench.jobs.max(1) {
            scope.spawn(|| {
                while let Some((root, game)) = pop(&turns) {
                    match play(bench, root, game) {
                        Ok(outcome) => {
                            lock(&played).insert((root.to_owned(), game.clone()), outcome);
                        }
                        Err(error) => {
                            *lock(&failure) = Some(error);
                            lock(&turns).clear();
                        }
                    }
                }
            });
        }
    });
    let failure = failure
        .into_inner()
        .unwrap_or_else(|held| held.into_inner());
    match failure {
        Some(error) => Err(error),
        None => Ok(played.into_inner().unwrap_or_else(|held| held.into_inner())),
    }
}

fn pop<'a>(turns: &Mutex<Vec<Turn<'a>>>) -> Option<Turn<'a>> {
    lock(turns).pop()
}

fn lock<T>(held: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // Each change is one assignment or insertion.
    held.lock().unwrap_or_else(|held| held.into_inner())
}

fn build(bench: &Bench, root: &Path) -> Result<(), AblateError> {
    let mut command = Command::new(&bench.program);
    command.arg("build").current_dir(root);
    run(&mut command, "the build")
}

fn play(bench: &Bench, root: &Path, game: &Game) -> Result<Outcome, AblateError> {
    let site = game.site.file_stem().unwrap_or_default().to_string_lossy();
    let name = format!("report-{site}-{}-{}.json", game.day, game.seed);
    let report = root.join("target").join(name);
    let mut command = Command::new(&bench.program);
    command
        .arg("run")
        .arg(&game.site)
        .arg(&game.day)
        .args(["--seed", &game.seed.to_string(), "--jobs", "1"])
        .args(["--why", "ablation, a trial"])
        .arg("--report")
        .arg(&report)
        .current_dir(root);
    run(&mut command, &format!("{site} {} {}", game.day, game.seed))?;
    read_report(&report)
}

fn read_report(path: &Path) -> Result<Outcome, AblateError> {
    let text = std::fs::read_to_string(path)
        .map_err(|reason| AblateError::File(path.to_owned(), reason))?;
    let missing = || AblateError::Report(path.to_owned());
    let report: Value = serde_json::from_str(&text).map_err(|_| missing())?;
    let worth = report["G"].as_f64().ok_or_else(missing)?;
    let broken = report["breaks"].as_object().ok_or_else(missing)?;
    Ok(Outcome {
        worth,
        broken: broken.keys().cloned().collect(),
    })
}
