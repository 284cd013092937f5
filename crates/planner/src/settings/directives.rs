//! The operators' directives file: caps of teams, and accounts that are suspended or reinstated.

use crate::error::PlannerError;
use mulleinhub_replicated_log::{Directive as OperatorDirective, DirectiveAction, Name, Subject};
use mulleinhub_settings::{Args, Diagnostics, Directive as SettingsLine, Name as NameValue, parse_text};

/// Sets the cap of a team.
const CAP: &str = "cap";
/// Suspends an account.
const SUSPEND: &str = "hold";
/// Reinstates an account.
const REINSTATE: &str = "clear";
/// Gives the time by which tasks of a suspended account are to be finished.
const FINISH_BY: &str = "finish-by";

/// Reads a directives file: `cap TEAM NUMBER AMOUNT`, `hold ACCOUNT NUMBER [finish-by SECONDS]`, `clear
/// ACCOUNT NUMBER`, one a line. The number is the directive's own version; amounts are micro-units, seconds
/// are Unix time. `file` names the file in faults.
///
/// # Errors
/// If there are faults.
pub fn parse_operator_directives(file: &str, text: &str) -> Result<Vec<OperatorDirective>, PlannerError> {
    let mut faults = Diagnostics::default();
    let lines = parse_text(file, text, &mut faults);
    let directives: Vec<OperatorDirective> =
        lines.iter().filter_map(|line| read(line, &mut faults)).collect();
    if faults.is_empty() {
        Ok(directives)
    } else {
        Err(PlannerError::InvalidSettings { report: faults.render() })
    }
}

fn read(line: &SettingsLine, faults: &mut Diagnostics) -> Option<OperatorDirective> {
    let keyword = line.name.text.as_str();
    if ![CAP, SUSPEND, REINSTATE].contains(&keyword) {
        let message = format!("unknown order {keyword} ({CAP}, {SUSPEND} or {REINSTATE} is wanted)");
        faults.add(&line.name.span, message);
        return None;
    }
    let mut args = Args::of(line);
    let (name, number) = (args.next::<NameValue>(faults), args.next::<u64>(faults));
    let state = match keyword {
        CAP => args.next(faults).map(|amount| DirectiveAction::Cap { amount }),
        SUSPEND if args.next_if(FINISH_BY) => {
            args.next(faults).map(|by| DirectiveAction::Suspend { finish_by: Some(by) })
        }
        SUSPEND => Some(DirectiveAction::Suspend { finish_by: None }),
        _ => Some(DirectiveAction::Reinstate {}),
    };
    args.finish(faults);
    let (name, number, state) = (Name::from(name?.0.as_str()), number?, state?);
    let subject = if matches!(state, DirectiveAction::Cap { .. }) {
        Subject::Team(name)
    } else {
        Subject::Account(name)
    };
    Some(OperatorDirective { subject, number, action: state })
}
