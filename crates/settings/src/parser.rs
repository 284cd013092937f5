//! Parses text into directives, each with its position.

use crate::diagnostics::{Diagnostics, SourceSpan};
use crate::lexer::Token;
use logos::Logos;
use std::path::Path;

/// The deepest nesting of blocks in blocks, and of files that include files.
const MAX_DEPTH: usize = 16;

/// A name or an argument, as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The text; without the quotes, and with escapes replaced, if it is quoted.
    pub text: String,
    /// Whether it is in quotes.
    pub quoted: bool,
    /// Where it is.
    pub span: SourceSpan,
}

/// A line of settings: a name, arguments, and perhaps a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// The first word of the line.
    pub name: Word,
    /// The further words.
    pub args: Vec<Word>,
    /// The directives between the braces at the end of the line; `None` where there are no braces.
    pub block: Option<Vec<Directive>>,
    /// From the name to the last argument.
    pub span: SourceSpan,
}

/// Reads a file and the files it includes. Errors in the text are added to `diagnostics`; all that could be
/// parsed is returned nevertheless.
///
/// # Errors
/// Where the file itself can't be read.
pub fn parse(path: &Path, diagnostics: &mut Diagnostics) -> std::io::Result<Vec<Directive>> {
    let text = std::fs::read_to_string(path)?;
    Ok(parse_source(path, text, diagnostics, 0))
}

/// Parses a text that is in no file; `name` stands for the path in messages.
pub fn parse_text(name: &str, text: &str, diagnostics: &mut Diagnostics) -> Vec<Directive> {
    parse_source(Path::new(name), text.to_owned(), diagnostics, 0)
}

fn parse_source(path: &Path, text: String, diagnostics: &mut Diagnostics, depth: usize) -> Vec<Directive> {
    let file = diagnostics.sources.0.len();
    diagnostics.sources.0.push((path.to_owned(), text.clone()));
    let mut parser = Parser {
        path,
        depth,
        diagnostics,
        levels: vec![Vec::new()],
        line: Vec::new(),
        open_braces: Vec::new(),
    };
    let mut lexer = Token::lexer(&text);
    while let Some(token) = lexer.next() {
        let span = SourceSpan { file, bytes: lexer.span() };
        match token {
            Ok(Token::Bare) => parser.add_bare(lexer.slice(), span),
            Ok(Token::Quoted) => parser.add_quoted(lexer.slice(), span),
            Ok(Token::Newline) => parser.finish_directive(None),
            Ok(Token::OpenBrace) => {
                if !parser.open_block(span) {
                    return parser.levels.swap_remove(0);
                }
            }
            Ok(Token::CloseBrace) => parser.close_block(&span),
            Err(()) => parser.diagnostics.add(&span, "a quote that is not closed on its line"),
        }
    }
    parser.finish_file()
}

/// State while one file is parsed.
struct Parser<'a> {
    path: &'a Path,
    /// How many files include this one, directly or indirectly.
    depth: usize,
    diagnostics: &'a mut Diagnostics,
    /// The directives of the file, then of each open block, the innermost last.
    levels: Vec<Vec<Directive>>,
    /// The words of the line so far.
    line: Vec<Word>,
    /// The braces of the open blocks, the innermost last.
    open_braces: Vec<SourceSpan>,
}

impl Parser<'_> {
    fn add_bare(&mut self, text: &str, span: SourceSpan) {
        self.line.push(Word { text: text.to_owned(), quoted: false, span });
    }

    fn add_quoted(&mut self, quoted: &str, span: SourceSpan) {
        let text = unquote(quoted, &span, self.diagnostics);
        self.line.push(Word { text, quoted: true, span });
    }

    /// Returns false where blocks are nested too deep to go on.
    fn open_block(&mut self, brace: SourceSpan) -> bool {
        if self.line.is_empty() {
            self.diagnostics.add(&brace, "a block without a directive before it");
        } else if self.levels.len() > MAX_DEPTH {
            self.diagnostics.add(&brace, format!("blocks stand deeper than {MAX_DEPTH}"));
            return false;
        }
        self.finish_directive(Some(Vec::new()));
        self.open_braces.push(brace);
        self.levels.push(Vec::new());
        true
    }

    fn close_block(&mut self, brace: &SourceSpan) {
        self.finish_directive(None);
        if self.open_braces.pop().is_none() {
            self.diagnostics.add(brace, "a closing brace too many");
            return;
        }
        self.attach_block();
    }

    fn finish_file(mut self) -> Vec<Directive> {
        self.finish_directive(None);
        for brace in std::mem::take(&mut self.open_braces) {
            self.diagnostics.add(&brace, "a block that is never closed");
            self.attach_block();
        }
        self.levels.swap_remove(0)
    }

    /// Gives the innermost block to the directive that opened it.
    fn attach_block(&mut self) {
        let block = self.levels.pop().expect("a block is open");
        if let Some(parent) = self.levels.last_mut().and_then(|outer| outer.last_mut()) {
            parent.block = Some(block);
        }
    }

    /// Makes a directive of the line so far, if there is any, or includes the file that it names.
    fn finish_directive(&mut self, block: Option<Vec<Directive>>) {
        let mut words = std::mem::take(&mut self.line).into_iter();
        let Some(name) = words.next() else { return };
        let args: Vec<Word> = words.collect();
        let end = args.last().map_or(name.span.bytes.end, |word| word.span.bytes.end);
        let span = SourceSpan { file: name.span.file, bytes: name.span.bytes.start..end };
        if name.text == "include" && !name.quoted {
            self.include(&args, &span);
            return;
        }
        self.current_level().push(Directive { name, args, block, span });
    }

    fn include(&mut self, args: &[Word], span: &SourceSpan) {
        match args {
            [file] if self.depth < MAX_DEPTH => {
                let path = self.path.parent().unwrap_or(Path::new(".")).join(&file.text);
                match std::fs::read_to_string(&path) {
                    Ok(text) => {
                        let included = parse_source(&path, text, self.diagnostics, self.depth + 1);
                        self.current_level().extend(included);
                    }
                    Err(error) => self.diagnostics.add(&file.span, format!("{}: {error}", path.display())),
                }
            }
            [_] => self.diagnostics.add(span, format!("files include files deeper than {MAX_DEPTH}")),
            _ => self.diagnostics.add(span, "include takes one file"),
        }
    }

    fn current_level(&mut self) -> &mut Vec<Directive> {
        self.levels.last_mut().expect("the file's own level")
    }
}

/// Removes the quotes and replaces the escapes.
fn unquote(quoted: &str, span: &SourceSpan, diagnostics: &mut Diagnostics) -> String {
    let inner = &quoted[1..quoted.len() - 1];
    let mut text = String::with_capacity(inner.len());
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        if c != '\\' {
            text.push(c);
            continue;
        }
        match chars.next() {
            Some('n') => text.push('\n'),
            Some('t') => text.push('\t'),
            Some(c @ ('"' | '\\')) => text.push(c),
            Some(c) => diagnostics.add(span, format!("\\{c} means nothing in quotes (\\\" \\\\ \\n \\t do)")),
            None => {}
        }
    }
    text
}
