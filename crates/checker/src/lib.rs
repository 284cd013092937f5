//! Judges the five rules, and those of the books, from a capture alone.
//!
//! For: saying of each rule whether it was kept, broken or not met, with the task or machine concerned, and
//! the day's figures as the traffic shows them.
//! May not touch: the engine, the module, the stand-ins: a judge that shares code with the judged shares its
//! errors. It knows captures and the protocol's decoder.

mod books;
mod figures;
mod judge;
mod life;

pub use books::{BooksRuling, BooksVerdict, TeamFigures};
pub use figures::Figures;
pub use judge::{Breach, Judge, Ruling, Verdict};
pub use life::life_of;

use books::BooksJudge;
use mulleinhub_capture::{Unreadable, read};
use std::io::BufRead;

/// Judges a capture to its end.
///
/// # Errors
/// Where the capture can't be read.
pub fn judge(input: impl BufRead) -> Result<Verdict, Unreadable> {
    let (mut judge, mut books) = (Judge::default(), BooksJudge::default());
    read(input, |stamped| {
        judge.hear(&stamped);
        books.hear(&stamped);
    })?;
    let books = books.is_on().then(|| books.finish());
    Ok(Verdict { books, ..judge.finish() })
}
