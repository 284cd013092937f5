//! The mapping file: which class of a trace is which use case, and what is done about faults.

use crate::fault::{Fault, Policies, Policy};
use mulleinhub_interface::Duration;
use mulleinhub_settings::{Args, Bytes, Diagnostics, Directive, Range, suggest};

/// Tasks of these classes and priorities are of this use case; the first rule that fits counts.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    pub class: (u32, u32),
    pub priority: (u32, u32),
    pub use_case: String,
}

#[derive(Clone, Debug)]
pub struct Mapping {
    pub rules: Vec<ClassRule>,
    pub policies: Policies,
    pub window: Duration,
    /// Cores and GiB of the greatest machine, where the trace tells parts of it alone.
    pub whole: (f64, f64),
}

impl Default for Mapping {
    fn default() -> Self {
        Self {
            rules: Vec::new(),
            policies: Policies::default(),
            window: Duration::from_secs(300),
            whole: (48.0, 96.0),
        }
    }
}

impl Mapping {
    /// The use case of a class and priority, by its name.
    pub fn use_case(&self, class: u32, priority: u32) -> Option<&str> {
        let is = |(low, high): (u32, u32), n: u32| (low..=high).contains(&n);
        let rule = self.rules.iter().find(|rule| is(rule.class, class) && is(rule.priority, priority));
        rule.map(|rule| rule.use_case.as_str())
    }
}

const OURS: [&str; 4] = ["class", "fault", "window", "whole"];

/// Reads `class`, `fault`, `window` and `whole` lines, and gives back the others.
///
/// ```text
/// class 0..1 priority 0..8 use-case settlement
/// fault missing-field skip
/// window 5min
/// whole 48 96GiB
/// ```
pub fn read_mapping(directives: &[Directive], faults: &mut Diagnostics) -> (Mapping, Vec<Directive>) {
    let (ours, others): (Vec<Directive>, Vec<Directive>) =
        directives.iter().cloned().partition(|directive| OURS.contains(&directive.name.text.as_str()));
    let mut mapping = Mapping::default();
    for directive in &ours {
        let mut args = Args::of(directive);
        match directive.name.text.as_str() {
            "class" => mapping.rules.extend(class_rule(&mut args, faults)),
            "fault" => fault_line(&mut args, &mut mapping.policies, directive, faults),
            "whole" => {
                let cores = args.next::<f64>(faults);
                let memory = args.next::<Bytes>(faults);
                if let (Some(cores), Some(memory)) = (cores, memory) {
                    mapping.whole = (cores, memory.0 as f64 / f64::from(1 << 30));
                }
            }
            _ => mapping.window = args.next(faults).unwrap_or(mapping.window),
        }
        args.finish(faults);
    }
    (mapping, others)
}

fn class_rule(args: &mut Args<'_>, faults: &mut Diagnostics) -> Option<ClassRule> {
    let Range { low, high } = args.next::<Range<u32>>(faults)?;
    let mut priority = (0, u32::MAX);
    if args.next_if("priority") {
        let Range { low, high } = args.next::<Range<u32>>(faults)?;
        priority = (low, high);
    }
    if !args.next_if("use-case") {
        if let Some(word) = args.peek() {
            faults.add(&word.span, "use-case NAME is wanted here");
        }
        return None;
    }
    Some(ClassRule { class: (low, high), priority, use_case: args.next::<String>(faults)? })
}

fn fault_line(args: &mut Args<'_>, policies: &mut Policies, directive: &Directive, faults: &mut Diagnostics) {
    let (Some(kind), Some(done)) = (args.next_word(), args.next_word()) else {
        return faults
            .add(&directive.span, "a kind and repair, skip or stop are wanted: fault negative skip");
    };
    let Some(fault) = Fault::ALL.into_iter().find(|fault| fault.name() == kind.text) else {
        let names: Vec<&str> = Fault::ALL.iter().map(|fault| fault.name()).collect();
        let like = suggest(&kind.text, &names).map_or(String::new(), |like| format!(" ({like})"));
        return faults.add(&kind.span, format!("{} is no kind of fault{like}", kind.text));
    };
    let policy = match done.text.as_str() {
        "repair" => Policy::Repair,
        "skip" => Policy::Skip,
        "stop" => Policy::Stop,
        other => return faults.add(&done.span, format!("{other}: repair, skip or stop is wanted")),
    };
    if let Err(words) = policies.set(fault, policy) {
        faults.add(&done.span, words);
    }
}
