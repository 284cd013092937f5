//! What is wrong with a file, and how a person is told.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::ops::Range;
use std::path::PathBuf;

/// A stretch of one of the files read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub file: usize,
    pub bytes: Range<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub place: Place,
    pub words: String,
    pub hint: Option<String>,
}

/// The files read, by number.
#[derive(Clone, Debug, Default)]
pub struct Sources(pub Vec<(PathBuf, String)>);

/// All faults of a file and of what it includes, in the order of their places.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub sources: Sources,
    pub list: Vec<Fault>,
}

impl Faults {
    pub fn add(&mut self, place: &Place, words: impl Into<String>) {
        self.list.push(Fault { place: place.clone(), words: words.into(), hint: None });
    }

    pub fn add_with_hint(&mut self, place: &Place, words: impl Into<String>, hint: Option<String>) {
        self.list.push(Fault { place: place.clone(), words: words.into(), hint });
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Every fault with file, line, column, the line itself and a caret.
    pub fn render(&self) -> String {
        let mut faults: Vec<&Fault> = self.list.iter().collect();
        faults.sort_by_key(|fault| (fault.place.file, fault.place.bytes.start));
        let renderer = Renderer::plain();
        let mut text = String::new();
        for fault in faults {
            let Some((path, source)) = self.sources.0.get(fault.place.file) else {
                text.push_str(&format!("error: {}\n", fault.words));
                continue;
            };
            let path = path.display().to_string();
            let end = fault.place.bytes.end.min(source.len());
            let span = fault.place.bytes.start.min(end)..end;
            let snippet =
                Snippet::source(source.as_str()).path(path).annotation(AnnotationKind::Primary.span(span));
            let mut group = Level::ERROR.primary_title(fault.words.as_str()).element(snippet);
            if let Some(hint) = &fault.hint {
                group = group.element(Level::HELP.message(hint.as_str()));
            }
            text.push_str(&renderer.render(&[group]));
            text.push('\n');
        }
        text
    }
}
