//! From text to directives with places.

use crate::fault::{Faults, Place};
use crate::lexer::Token;
use logos::Logos;
use std::path::Path;

/// How deep blocks may stand in blocks, and files include files.
const MOST_DEPTH: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub text: String,
    pub quoted: bool,
    pub place: Place,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    pub name: Word,
    pub args: Vec<Word>,
    pub block: Option<Vec<Directive>>,
    /// From the name to the last argument.
    pub place: Place,
}

/// Reads a file and what it includes. Faults are added up; what could be read is given back all the same.
///
/// # Errors
/// Where the file itself can't be read.
pub fn parse(path: &Path, faults: &mut Faults) -> std::io::Result<Vec<Directive>> {
    let text = std::fs::read_to_string(path)?;
    Ok(read(path, text, faults, 0))
}

/// Reads a text that stands in no file; `name` is what messages call it.
pub fn parse_text(name: &str, text: &str, faults: &mut Faults) -> Vec<Directive> {
    read(Path::new(name), text.to_owned(), faults, 0)
}

fn read(path: &Path, text: String, faults: &mut Faults, depth: usize) -> Vec<Directive> {
    let file = faults.sources.0.len();
    faults.sources.0.push((path.to_owned(), text.clone()));
    let mut stack: Vec<Vec<Directive>> = vec![Vec::new()];
    let mut line: Vec<Word> = Vec::new();
    let mut opened: Vec<Place> = Vec::new();
    let mut lexer = Token::lexer(&text);
    while let Some(token) = lexer.next() {
        let place = Place { file, bytes: lexer.span() };
        match token {
            Ok(Token::Bare) => {
                line.push(Word { text: lexer.slice().to_owned(), quoted: false, place });
            }
            Ok(Token::Quoted) => {
                let text = unquote(lexer.slice(), &place, faults);
                line.push(Word { text, quoted: true, place });
            }
            Ok(Token::Line) => finish(&mut line, None, &mut stack, path, faults, depth),
            Ok(Token::Open) => {
                if line.is_empty() {
                    faults.add(&place, "a block without a directive before it");
                } else if stack.len() > MOST_DEPTH {
                    faults.add(&place, format!("blocks stand deeper than {MOST_DEPTH}"));
                    return stack.swap_remove(0);
                }
                finish(&mut line, Some(Vec::new()), &mut stack, path, faults, depth);
                opened.push(place);
                stack.push(Vec::new());
            }
            Ok(Token::Close) => {
                finish(&mut line, None, &mut stack, path, faults, depth);
                if opened.pop().is_none() {
                    faults.add(&place, "a closing brace too many");
                    continue;
                }
                close(&mut stack);
            }
            Err(()) => faults.add(&place, "a quote that is not closed on its line"),
        }
    }
    finish(&mut line, None, &mut stack, path, faults, depth);
    for place in opened {
        faults.add(&place, "a block that is never closed");
        close(&mut stack);
    }
    stack.swap_remove(0)
}

/// The innermost block goes to the directive that opened it.
fn close(stack: &mut Vec<Vec<Directive>>) {
    let block = stack.pop().expect("a block is open");
    if let Some(owner) = stack.last_mut().and_then(|outer| outer.last_mut()) {
        owner.block = Some(block);
    }
}

fn finish(
    line: &mut Vec<Word>,
    block: Option<Vec<Directive>>,
    stack: &mut [Vec<Directive>],
    path: &Path,
    faults: &mut Faults,
    depth: usize,
) {
    let mut words = std::mem::take(line).into_iter();
    let Some(name) = words.next() else { return };
    let args: Vec<Word> = words.collect();
    let end = args.last().map_or(name.place.bytes.end, |word| word.place.bytes.end);
    let place = Place { file: name.place.file, bytes: name.place.bytes.start..end };
    let here = stack.last_mut().expect("the file's own level");
    if name.text == "include" && !name.quoted {
        match args.as_slice() {
            [file] if depth < MOST_DEPTH => {
                let other = path.parent().unwrap_or(Path::new(".")).join(&file.text);
                match std::fs::read_to_string(&other) {
                    Ok(text) => here.extend(read(&other, text, faults, depth + 1)),
                    Err(error) => faults.add(&file.place, format!("{}: {error}", other.display())),
                }
            }
            [_] => faults.add(&place, format!("files include files deeper than {MOST_DEPTH}")),
            _ => faults.add(&place, "include takes one file"),
        }
        return;
    }
    here.push(Directive { name, args, block, place });
}

fn unquote(slice: &str, place: &Place, faults: &mut Faults) -> String {
    let inner = &slice[1..slice.len() - 1];
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
            Some(c) => faults.add(place, format!("\\{c} means nothing in quotes (\\\" \\\\ \\n \\t do)")),
            None => {}
        }
    }
    text
}
