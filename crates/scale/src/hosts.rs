//! Runs a profile at all its sizes, on the host that it names.

use crate::ledgers::{self, Outcome};
use crate::limits::{self, Refused};
use crate::planners;
use crate::profile::{Profile, RunPlan};
use crate::results::{Host, Results, Run};
use std::time::Duration;

/// Why a profile has no results. A run that is cut short or refused gives none, so that nothing partial is
/// fitted.
#[derive(Debug)]
pub enum HostError {
    /// The bound on real time ended a run.
    Partial {
        profile: String,
        varied: f64,
        bound: Duration,
    },
    /// A run doesn't fit this machine.
    Refused(Refused),
    Planners {
        profile: String,
        cause: String,
    },
}

impl std::fmt::Display for HostError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Partial { profile, varied, bound } => write!(
                f,
                "profile {profile}: the run at {varied} was not over after {} s: no results are kept",
                bound.as_secs()
            ),
            Self::Refused(refused) => write!(f, "{refused}"),
            Self::Planners { profile, cause } => write!(f, "profile {profile}: {cause}"),
        }
    }
}

impl std::error::Error for HostError {}

/// Plays all runs of a profile. `bound` is the most real time of one run of ledgers; `remark` hears how long
/// each took, and what went otherwise than the profile says.
///
/// # Errors
/// Where the profile can't be played here, a run doesn't fit the machine, or one isn't over in time.
pub fn run(profile: &Profile, bound: Duration, remark: &mut dyn FnMut(&str)) -> Result<Results, HostError> {
    limits::check(profile).map_err(HostError::Refused)?;
    match profile.host {
        Host::HollowLedgers => run_ledgers(profile, bound, remark),
        Host::HollowPlanners | Host::RealPlanners => planners::run(profile)
            .map_err(|cause| HostError::Planners { profile: profile.name.clone(), cause }),
    }
}

fn run_ledgers(
    profile: &Profile,
    bound: Duration,
    remark: &mut dyn FnMut(&str),
) -> Result<Results, HostError> {
    let mut runs = Vec::new();
    for plan in profile.runs() {
        runs.push(run_of_ledgers(profile, &plan, bound, remark)?);
    }
    Ok(Results {
        profile: profile.name.clone(),
        host: profile.host,
        seed: profile.seed,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        vary: profile.vary_word().to_owned(),
        runs,
    })
}

fn run_of_ledgers(
    profile: &Profile,
    plan: &RunPlan,
    bound: Duration,
    remark: &mut dyn FnMut(&str),
) -> Result<Run, HostError> {
    let Outcome { run, remarks, is_partial, took, .. } = ledgers::play(profile, plan, bound);
    remark(&format!("{} at {}: took {:.1} s", profile.name, plan.varied, took.as_secs_f64()));
    for words in &remarks {
        remark(&format!("{} at {}: {words}", profile.name, plan.varied));
    }
    if is_partial {
        return Err(HostError::Partial { profile: profile.name.clone(), varied: plan.varied, bound });
    }
    Ok(run)
}
