//! What service is worth: seconds of full service, by use case and size, and first starts in time.

/// What makes a task's size: its cores and memory over the mean's.
#[derive(Clone, Debug)]
pub struct Worth {
    pub mean_cores: f64,
    pub mean_memory: f64,
    /// By use case: for a second at mean size, and the seconds that a first start in time counts as.
    pub earnings: Vec<f64>,
    pub start_seconds: Vec<f64>,
}

impl Worth {
    /// A second of full service of a task that asks for so much.
    pub fn second(&self, case: u32, cores: f64, memory: f64) -> f64 {
        let size = (cores / self.mean_cores + memory / self.mean_memory) / 2.0;
        size * self.earnings.get(case as usize).copied().unwrap_or(0.0)
    }

    pub fn start(&self, case: u32, cores: f64, memory: f64) -> f64 {
        self.second(case, cores, memory) * self.start_seconds.get(case as usize).copied().unwrap_or(0.0)
    }
}

/// Sums by use case.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally(pub Vec<f64>);

impl Tally {
    pub fn add(&mut self, case: u32, amount: f64) {
        let case = case as usize;
        if self.0.len() <= case {
            self.0.resize(case + 1, 0.0);
        }
        self.0[case] += amount;
    }

    pub fn of(&self, case: usize) -> f64 {
        self.0.get(case).copied().unwrap_or(0.0)
    }

    pub fn sum(&self) -> f64 {
        self.0.iter().sum()
    }

    pub fn join(&mut self, other: &Self) {
        for (case, amount) in other.0.iter().enumerate() {
            self.add(case as u32, *amount);
        }
    }
}
