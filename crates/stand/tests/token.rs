//! Tokens and blocks as pure functions of the prompt.

use fulmargate_stand::CompletionBody;
use fulmargate_stand::token;

struct PromptCase {
    name: &'static str,
    body: &'static str,
    text: &'static str,
    tokens: usize,
    answer_tokens: usize,
}

impl PromptCase {
    fn check(&self) {
        let body = CompletionBody::parse(self.body.as_bytes()).unwrap();
        assert_eq!(body.prompt_text(), self.text, "{}", self.name);
        assert_eq!(token::prompt_tokens(self.text), self.tokens, "{}", self.name);
        assert_eq!(body.answer_tokens(), self.answer_tokens, "{}", self.name);
    }
}

const PROMPTS: [PromptCase; 3] = [
    PromptCase {
        name: "chat messages are joined with their roles",
        body: r#"{"model":"m","messages":[{"role":"system","content":"ab"},{"role":"user","content":"c"}]}"#,
        text: "system\nab\nuser\nc\n",
        tokens: 5,
        answer_tokens: 16,
    },
    PromptCase {
        name: "text parts of a content list are joined",
        body: r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"max_tokens":3}"#,
        text: "user\nab\n",
        tokens: 2,
        answer_tokens: 3,
    },
    PromptCase {
        name: "a prompt stands as it is",
        body: r#"{"model":"m","prompt":"hello","max_completion_tokens":2}"#,
        text: "hello",
        tokens: 2,
        answer_tokens: 2,
    },
];

#[test]
fn prompt_texts() {
    PROMPTS.iter().for_each(PromptCase::check);
}

#[test]
fn a_body_without_prompt_is_refused() {
    assert!(CompletionBody::parse(br#"{"model":"m"}"#).is_err());
}

/// What must make all blocks differ, and what must leave the first ones equal.
#[test]
fn block_hashes_cover_scope_weights_and_all_text_before() {
    let text = "x".repeat(token::BLOCK_BYTES * 3 + 5);
    let hashes = token::block_hashes("t/m/", 1, &text);
    assert_eq!(hashes.len(), 3, "the rest of 5 bytes fills no block");

    let same_start = token::block_hashes("t/m/", 1, &format!("{}y", &text[..text.len() - 5]));
    assert_eq!(same_start[..], hashes[..]);
    for (scope, weights) in [("u/m/", 1), ("t/m/", 2)] {
        let others = token::block_hashes(scope, weights, &text);
        assert!(others.iter().all(|hash| !hashes.contains(hash)), "{scope} {weights}");
    }
    let changed = token::block_hashes("t/m/", 1, &format!("y{}", &text[1..]));
    assert!(changed.iter().all(|hash| !hashes.contains(hash)));
}

#[test]
fn answers_depend_on_weights_prompt_and_model() {
    let hash = token::prompt_hash("m", "text");
    let answer = token::answer_text(1, hash, 4);
    assert_eq!(answer, (0..4).map(|i| token::token_text(1, hash, i)).collect::<String>());
    assert_ne!(answer, token::answer_text(2, hash, 4));
    assert_ne!(answer, token::answer_text(1, token::prompt_hash("n", "text"), 4));
    assert_ne!(answer, token::answer_text(1, token::prompt_hash("m", "texu"), 4));
}
