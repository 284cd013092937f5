//! Kinds of machines: the `kind` block.

use mulleinhub_interface::Resources;
use mulleinhub_settings::{Args, Bytes, Cores, Diagnostics, Directive, Name, Scope};

/// Bytes in a GiB.
const BYTES_PER_GIB: f64 = (1u64 << 30) as f64;

/// A kind of machine. All machines of a kind have the same capacity.
#[derive(Clone, Debug)]
pub struct MachineKind {
    /// Unique name.
    pub name: String,
    /// Capacity of one machine: cores, and memory in GiB.
    pub size: Resources,
}

/// Reads a `kind` block; `None` where an error was added that leaves it incomplete.
pub fn read_machine_kind(directive: &Directive, diagnostics: &mut Diagnostics) -> Option<MachineKind> {
    let mut args = Args::of(directive);
    let name = args.next::<Name>(diagnostics);
    args.finish(diagnostics);
    let mut scope = Scope::of(directive);
    let cores = scope.required::<Cores>("cores", diagnostics);
    let memory = scope.required::<Bytes>("memory", diagnostics);
    scope.finish(diagnostics);
    Some(MachineKind { name: name?.0, size: Resources::new(cores?.0, gib(memory?)) })
}

/// A size in GiB, the unit of memory in [`Resources`].
pub fn gib(bytes: Bytes) -> f64 {
    bytes.0 as f64 / BYTES_PER_GIB
}

impl MachineKind {
    /// The `kind` block that gives this kind.
    pub fn to_text(&self) -> String {
        let bytes = (self.size.memory * BYTES_PER_GIB) as u64;
        format!("kind {} {{\n    cores {}\n    memory {bytes}B\n}}\n", self.name, self.size.cores)
    }
}
