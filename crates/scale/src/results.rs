//! Results of scale runs: what was varied, and what each role cost.

use serde::{Deserialize, Serialize};
use std::path::Path;

/// How a run was hosted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Host {
    /// Many schedulers' ledgers in one process, in virtual time.
    HollowLedgers,
    /// Planners and workers in one process, in virtual time.
    HollowPlanners,
    /// Planners in processes of their own, over loopback sockets.
    RealPlanners,
}

/// The size of the fleet in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Size {
    pub schedulers: u32,
    pub workers: u32,
    pub regions: u32,
    pub zones: u32,
    pub teams: u32,
    /// Tasks that run, over the whole fleet.
    pub running: u32,
    /// Task starts a second, over the whole fleet.
    pub starts: f64,
    /// Configuration changes a second, over the whole fleet.
    pub changes: f64,
    /// Schedulers that fail and return, in a minute.
    pub failures: f64,
}

/// Who spends what a sample tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Placing: the engine and the policy of one scheduler.
    Scheduler,
    /// The ledger member of one scheduler: replication, failure detection, quotas.
    LedgerMember,
    /// The server of the list of workers.
    Discovery,
    /// One worker's side of the protocol.
    Worker,
    /// A client's connection at a scheduler.
    Client,
}

/// What a sample tells. Per member of the role, unless the metric says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Metric {
    /// Bytes a second.
    BytesIn,
    BytesOut,
    /// Messages a second.
    MessagesIn,
    MessagesOut,
    /// Processor seconds a second: one core is 1.
    Processor,
    /// Bytes of memory by the allocator's count.
    Memory,
    /// Resident bytes of a process.
    Resident,
    /// Seconds until a change is in force everywhere.
    ChangeP50,
    ChangeP99,
    ChangeMax,
    /// Seconds until a scheduler that starts is ready.
    StartUp,
    /// Processor seconds of one scheduler while all start together.
    StartUpProcessor,
    /// After a cut between regions: seconds until all know the same, and bytes in of one scheduler.
    CatchUp,
    CatchUpBytes,
    /// Task starts a second that were served, over the whole fleet.
    Started,
}

/// One figure of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub role: Role,
    pub metric: Metric,
    pub value: f64,
}

/// One run of a profile at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub size: Size,
    /// The value of the variable that the profile changes.
    pub varied: f64,
    /// Kept out of fits, to compare the prediction with.
    pub held_out: bool,
    /// Virtual or real seconds that were measured.
    pub seconds: f64,
    pub samples: Vec<Sample>,
}

/// All runs of one profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Results {
    pub profile: String,
    pub host: Host,
    pub seed: u64,
    /// The version of the program, and the form of the ledger where one was chosen.
    pub version: String,
    /// The name of the variable that the runs change, as in the profile.
    pub vary: String,
    pub runs: Vec<Run>,
}

/// Why results could not be read or written.
#[derive(Debug)]
pub enum ResultsError {
    File { path: String, cause: std::io::Error },
    Json { path: String, cause: serde_json::Error },
    Csv { path: String, cause: csv::Error },
}

impl std::fmt::Display for ResultsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::File { path, cause } => write!(f, "{path}: {cause}"),
            Self::Json { path, cause } => {
                write!(f, "{path}: line {} column {}: {cause}", cause.line(), cause.column())
            }
            Self::Csv { path, cause } => write!(f, "{path}: {cause}"),
        }
    }
}

impl std::error::Error for ResultsError {}

/// A row of the CSV form: one sample with all that it belongs to.
#[derive(Serialize)]
struct CsvRow<'a> {
    profile: &'a str,
    host: Host,
    seed: u64,
    version: &'a str,
    vary: &'a str,
    varied: f64,
    held_out: bool,
    seconds: f64,
    schedulers: u32,
    workers: u32,
    regions: u32,
    zones: u32,
    teams: u32,
    running: u32,
    starts: f64,
    changes: f64,
    failures: f64,
    role: Role,
    metric: Metric,
    value: f64,
}

impl Run {
    /// The value of one metric of a role, where the run has it.
    #[must_use]
    pub fn value(&self, role: Role, metric: Metric) -> Option<f64> {
        let of = |sample: &&Sample| sample.role == role && sample.metric == metric;
        self.samples.iter().find(of).map(|sample| sample.value)
    }
}

impl Results {
    /// Reads a result file.
    ///
    /// # Errors
    /// Where the file can't be read or is not a result file; the message names the place.
    pub fn read(path: &Path) -> Result<Self, ResultsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| ResultsError::File { path: shown.clone(), cause })?;
        serde_json::from_str(&text).map_err(|cause| ResultsError::Json { path: shown, cause })
    }

    /// Writes `PROFILE.json` and `PROFILE.csv` into a directory.
    ///
    /// # Errors
    /// Where a file can't be written.
    pub fn write(&self, directory: &Path) -> Result<(), ResultsError> {
        let json = directory.join(format!("{}.json", self.profile));
        let shown = json.display().to_string();
        let text = serde_json::to_string_pretty(self)
            .map_err(|cause| ResultsError::Json { path: shown.clone(), cause })?;
        std::fs::write(&json, text + "\n").map_err(|cause| ResultsError::File { path: shown, cause })?;
        let table = directory.join(format!("{}.csv", self.profile));
        let shown = table.display().to_string();
        self.write_csv(&table).map_err(|cause| ResultsError::Csv { path: shown, cause })
    }

    fn write_csv(&self, path: &Path) -> Result<(), csv::Error> {
        let mut table = csv::Writer::from_path(path)?;
        for run in &self.runs {
            for sample in &run.samples {
                table.serialize(self.csv_row(run, sample))?;
            }
        }
        table.flush()?;
        Ok(())
    }

    fn csv_row<'a>(&'a self, run: &Run, sample: &Sample) -> CsvRow<'a> {
        CsvRow {
            profile: &self.profile,
            host: self.host,
            seed: self.seed,
            version: &self.version,
            vary: &self.vary,
            varied: run.varied,
            held_out: run.held_out,
            seconds: run.seconds,
            schedulers: run.size.schedulers,
            workers: run.size.workers,
            regions: run.size.regions,
            zones: run.size.zones,
            teams: run.size.teams,
            running: run.size.running,
            starts: run.size.starts,
            changes: run.size.changes,
            failures: run.size.failures,
            role: sample.role,
            metric: sample.metric,
            value: sample.value,
        }
    }
}
