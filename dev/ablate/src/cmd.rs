//! Runs the bench for each mechanism and prints its table rows when they are done.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use hornbeamrock_ablate::{
    AblateError, Bench, BenchRun, Mechanism, Outcome, Outcomes, ScratchClone, compare,
    read_mechanisms, run_all,
};

/// Runs the program with the parsed command line.
pub fn run(matches: &ArgMatches) -> Result<(), AblateError> {
    let scratch: PathBuf = absolute(path_arg(matches, "scratch"))?;
    let bench = Bench {
        program: absolute(path_arg(matches, "bench"))?,
        jobs: number_arg(matches, "jobs") as usize,
    };
    let bench_runs = bench_runs(matches)?;
    let sources: &PathBuf = path_arg(matches, "sources");
    let unchanged = ScratchClone::new(sources, scratch.join("kept"))?;
    let changed = ScratchClone::new(sources, scratch.join("changed"))?;
    println!(
        "| Off | Site | Pairs | With | Without | Spread | Difference | Verdict | Rules broken without |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for mechanism in selected_mechanisms(matches)? {
        changed.switch_off(&mechanism)?;
        let roots = [unchanged.root(), changed.root()];
        let outcomes = run_all(&bench, &roots, &bench_runs)?;
        for row in rows(&mechanism, &bench_runs, roots, &outcomes) {
            println!("{row}");
        }
    }
    Ok(())
}

fn rows(
    mechanism: &Mechanism,
    bench_runs: &[BenchRun],
    [unchanged, changed]: [&Path; 2],
    outcomes: &Outcomes,
) -> Vec<String> {
    let mut sites: Vec<&PathBuf> = bench_runs.iter().map(|bench_run| &bench_run.site).collect();
    sites.dedup();
    let site_outcomes = |root: &Path, site: &PathBuf| -> Vec<&Outcome> {
        let bench_runs = bench_runs
            .iter()
            .filter(|bench_run| bench_run.site == *site);
        bench_runs
            .filter_map(|bench_run| outcomes.get(&(root.to_owned(), bench_run.clone())))
            .collect()
    };
    let row = |site: &PathBuf| {
        row(
            mechanism,
            site,
            &site_outcomes(unchanged, site),
            &site_outcomes(changed, site),
        )
    };
    sites.into_iter().map(row).collect()
}

fn row(mechanism: &Mechanism, site: &Path, on: &[&Outcome], off: &[&Outcome]) -> String {
    let worth_values = |outcomes: &[&Outcome]| -> Vec<f64> {
        outcomes.iter().map(|outcome| outcome.worth).collect()
    };
    let difference = compare(&worth_values(on), &worth_values(off));
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
        difference.pairs,
        difference.on,
        difference.off,
        difference.deviation,
        difference.mean(),
        difference.standard_error,
        difference.verdict(),
    )
}

fn selected_mechanisms(matches: &ArgMatches) -> Result<Vec<Mechanism>, AblateError> {
    let table: &PathBuf = path_arg(matches, "mechanisms");
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
                .ok_or_else(|| AblateError::UnknownMechanism(name.clone()))
        })
        .collect()
}

fn bench_runs(matches: &ArgMatches) -> Result<Vec<BenchRun>, AblateError> {
    let first = number_arg(matches, "first-seed");
    let mut bench_runs = Vec::new();
    for site in matches.get_many::<PathBuf>("site").unwrap_or_default() {
        let site = absolute(site)?;
        for seed in first..first + number_arg(matches, "seeds") {
            for day in matches.get_many::<String>("days").unwrap_or_default() {
                bench_runs.push(BenchRun {
                    site: site.clone(),
                    day: day.clone(),
                    seed,
                });
            }
        }
    }
    Ok(bench_runs)
}

fn path_arg<'a>(matches: &'a ArgMatches, name: &str) -> &'a PathBuf {
    matches
        .get_one(name)
        .expect("the argument is required or has a default value")
}

fn number_arg(matches: &ArgMatches, name: &str) -> u64 {
    *matches
        .get_one(name)
        .expect("the argument has a default value")
}

fn absolute(path: &Path) -> Result<PathBuf, AblateError> {
    std::path::absolute(path).map_err(|reason| AblateError::File(path.to_owned(), reason))
}
