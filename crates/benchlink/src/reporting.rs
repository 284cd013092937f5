//! Reads load reports and the numbers of use cases, as the settings say they are written.

use crate::values::Bad;
use mulleinhub::interface::*;

/// What it takes to read a scheduler's events: the names of a load report's values, whether x0 and x1 tell
/// room not in use (else room not asked for), and how many use cases there are.
#[derive(Debug, Default)]
pub struct Reporting {
    pub names: Vec<String>,
    pub of_use: bool,
    pub use_cases: usize,
}

impl Reporting {
    pub fn use_case(&self, number: usize) -> Result<UseCaseId, Bad> {
        if number < self.use_cases { Ok(UseCaseId(number)) } else { Err(format!("no class {number}")) }
    }

    pub fn read(&self, row: &str) -> Result<LoadReport, Bad> {
        let mut report = LoadReport::default();
        if row == "-" {
            return Ok(report);
        }
        let (mut cores, mut memory) = (None, None);
        for (name, value) in self.names.iter().zip(row.split(',')) {
            let value: f64 = value.parse().map_err(|_| format!("a load report holds {value:?}"))?;
            match name.as_str() {
                "x0" => cores = Some(value),
                "x1" => memory = Some(value),
                _ => {}
            }
        }
        if self.of_use {
            report.unused = cores.zip(memory).map(|(cores, memory)| Resources::new(cores, memory));
        }
        Ok(report)
    }
}
