//! Errors found in settings files, and how they are shown.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::ops::Range;
use std::path::PathBuf;

/// A range of bytes in one of the files read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceSpan {
    /// Index of the file in [`Sources`].
    pub file: usize,
    /// Byte offsets within the file.
    pub bytes: Range<usize>,
}

/// One error, where it is, and perhaps a suggestion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// What the error is about.
    pub span: SourceSpan,
    /// What is wrong.
    pub message: String,
    /// How it might be mended, as "did you mean reconnect?".
    pub hint: Option<String>,
}

/// The files read, path and text, in the order in which they were opened.
#[derive(Clone, Debug, Default)]
pub struct Sources(pub Vec<(PathBuf, String)>);

/// All errors of a file and of the files it includes, in the order in which they were found.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    /// The files that the errors are in.
    pub sources: Sources,
    /// The errors.
    pub list: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Adds an error.
    pub fn add(&mut self, span: &SourceSpan, message: impl Into<String>) {
        self.add_with_hint(span, message, None);
    }

    /// Adds an error with a suggestion.
    pub fn add_with_hint(&mut self, span: &SourceSpan, message: impl Into<String>, hint: Option<String>) {
        self.list.push(Diagnostic { span: span.clone(), message: message.into(), hint });
    }

    /// Whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Every error with file, line, column, the line itself and a caret, sorted by file and position.
    pub fn render(&self) -> String {
        let mut sorted: Vec<&Diagnostic> = self.list.iter().collect();
        sorted.sort_by_key(|diagnostic| (diagnostic.span.file, diagnostic.span.bytes.start));
        let renderer = Renderer::plain();
        sorted.into_iter().map(|diagnostic| self.render_one(diagnostic, &renderer)).collect()
    }

    fn render_one(&self, diagnostic: &Diagnostic, renderer: &Renderer) -> String {
        let Diagnostic { span, message, hint } = diagnostic;
        let Some((path, source)) = self.sources.0.get(span.file) else {
            return format!("error: {message}\n");
        };
        let end = span.bytes.end.min(source.len());
        let start = span.bytes.start.min(end);
        let snippet = Snippet::source(source.as_str())
            .path(path.display().to_string())
            .annotation(AnnotationKind::Primary.span(start..end));
        let mut group = Level::ERROR.primary_title(message.as_str()).element(snippet);
        if let Some(hint) = hint {
            group = group.element(Level::HELP.message(hint.as_str()));
        }
        renderer.render(&[group]) + "\n"
    }
}
