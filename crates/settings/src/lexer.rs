//! Tokens of the settings format.

use logos::Logos;

/// A token. Blanks and comments are skipped.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
#[logos(skip r"[ \t\r]+")]
#[logos(skip(r"#[^\n]*", allow_greedy = true))]
pub enum Token {
    /// The end of a line, and with it of a directive.
    #[token("\n")]
    Newline,
    /// The beginning of a block.
    #[token("{")]
    OpenBrace,
    /// The end of a block.
    #[token("}")]
    CloseBrace,
    /// Text in quotes, with `\` before a quote, a backslash, `n` or `t`.
    #[regex(r#""([^"\\\n]|\\.)*""#)]
    Quoted,
    /// A word without quotes.
    #[regex(r##"[^ \t\r\n{}"#]+"##)]
    Bare,
}
