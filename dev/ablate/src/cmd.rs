//! Plays the rows of the table and prints each as it is done.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use hornbeamrock_ablate::{
    AblateError, Bench, Game, Mechanism, Outcome, Played, Scratch, compare, play_all,
    read_mechanisms,
};

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<(), AblateError> {
    let scratch: PathBuf = absolute(given(matches, "scratch"))?;
    let bench = Bench {
        program: absolute(given(matches, "bench"))?,
        jobs: number(matches, "jobs") as usize,
    };
    let games = games(matches)?;
    let sources: &PathBuf = given(matches, "sources");
    let kept = Scratch::new(sources, scratch.join("kept"))?;
    let changed = Scratch::new(sources, scratch.join("changed"))?;
    println!(
        "| Off | Site | Pairs | With | Without | Spread | Difference | Verdict | Rules broken without |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for mechanism in wanted(matches)? {
        changed.switch_off(&mechanism)?;
        let roots = [kept.root(), changed.root()];
        let played = play_all(&bench, &roots, &games)?;
        for row in rows(&mechanism, &games, roots, &played) {
            println!("{row}");
        }
    }
    Ok(())
}

fn rows(
    mechanism: &Mechanism,
    games: &[Game],
    [kept, changed]: [&Path; 2],
    played: &Played,
) -> Vec<String> {
    let mut sites: Vec<&PathBuf> = games.iter().map(|game| &game.site).collect();
    sites.dedup();
    let outcomes = |root: &Path, site: &PathBuf| -> Vec<&Outcome> {
        let games = games.iter().filter(|game| game.site == *site);
        games
            .filter_map(|game| played.get(&(root.to_owned(), game.clone())))
            .collect()
    };
    let row = |site: &PathBuf| {
        row(
            mechanism,
            site,
            &outcomes(kept, site),
            &outcomes(changed, site),
        )
    };
    sites.into_iter().map(row).collect()
}

fn row(mechanism: &Mechanism, site: &Path, on: &[&Outcome], off: &[&Outcome]) -> String {
    let worths = |outcomes: &[&Outcome]| -> Vec<f64> {
        outcomes.iter().map(|outcome| outcome.worth).collect()
    };
    let found = compare(&worths(on), &worths(off));
    let mut broken: Vec<&str> = off
        .iter()
        .flat_map(|outcome| outcome.broken.iter().map(String::as_str))
        .collect();
    broken.sort_unstable();
    let broken = match broken.is_empty() {
        true => "none".to_owned(),
        false => broken.join(", "),
    };
    format!(
        "| {} | {} | {} | {:.3} | {:.3} | {:.3} | {:+.3} ± {:.3} | {} | {broken} |",
        mechanism.name,
        site.file_stem().unwrap_or_default().to_string_lossy(),
        found.pairs,
        found.on,
        found.off,
        found.spread,
        found.mean(),
        found.error,
        found.verdict(),
    )
}

fn wanted(matches: &ArgMatches) -> Result<Vec<Mechanism>, AblateError> {
    let table: &PathBuf = given(matches, "mechanisms");
    let mut all = vec![Mechanism::control()];
    all.extend(read_mechanisms(table)?);
    let Some(names) = matches.get_many::<String>("only") else {
        return Ok(all);
    };
    names
        .map(|name| {
            let known = all.iter().find(|mechanism| mechanism.name == *name);
            known
                .cloned()
                .ok_or_else(|| AblateError::Unknown(name.clone()))
        })
        .collect()
}

fn games(matches: &ArgMatches) -> Result<Vec<Game>, AblateError> {
    let first = number(matches, "first-seed");
    let mut games = Vec::new();
    for site in matches.get_many::<PathBuf>("site").unwrap_or_default() {
        let site = absolute(site)?;
        for seed in first..first + number(matches, "seeds") {
            for day in matches.get_many::<String>("days").unwrap_or_default() {
                games.push(Game {
                    site: site.clone(),
                    day: day.clone(),
                    seed,
                });
            }
        }
    }
    Ok(games)
}

fn given<'a>(matches: &'a ArgMatches, name: &str) -> &'a PathBuf {
    matches
        .get_one(name)
        .expect("required or with a default value")
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("has a default value")
}

fn absolute(path: &Path) -> Result<PathBuf, AblateError> {
    std::path::absolute(path).map_err(|reason| AblateError::File(path.to_owned(), reason))
}
