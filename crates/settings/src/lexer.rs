//! Words, braces, ends of lines.

use logos::Logos;

#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
#[logos(skip r"[ \t\r]+")]
#[logos(skip(r"#[^\n]*", allow_greedy = true))]
pub enum Token {
    #[token("\n")]
    Line,
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[regex(r#""([^"\\\n]|\\.)*""#)]
    Quoted,
    #[regex(r##"[^ \t\r\n{}"#]+"##)]
    Bare,
}
