//! The checks of samples refuse bad answers that were made by hand.

use super::SampleRow;
use super::sample_answer::SampleAnswer;
use super::sample_answer::expect;

const WHOLE: &str = "id: a\ndata: {\"choices\":[{\"delta\":{\"content\":\" x\"}}]}\n\n\
    id: b\ndata: {\"choices\":[{\"delta\":{\"content\":\" y\"}}]}\n\n\
    data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":7}}}\n\n\
    data: [DONE]\n\n";

fn good() -> SampleAnswer {
    SampleAnswer {
        status: 200,
        request_id: "r".to_owned(),
        sent_id: "r".to_owned(),
        disposition: "ran".to_owned(),
        body: WHOLE.to_owned(),
        ..SampleAnswer::default()
    }
}

struct AnswerCase {
    name: &'static str,
    answer: Result<SampleAnswer, String>,
    is_good: bool,
}

impl AnswerCase {
    fn check(self) {
        let check = |answer: &SampleAnswer| expect("text", &*answer.stream_text()?, " x y");
        let row = SampleRow::new(self.name, self.answer, check);
        assert_eq!(row.fault.is_none(), self.is_good, "{}: {:?}", self.name, row.fault);
    }
}

#[test]
fn bad_answers_are_refused() {
    let cut = WHOLE.replace("data: [DONE]\n\n", "");
    let shorter = WHOLE.replacen("\" x\"", "\"\"", 1);
    let cases = [
        AnswerCase { name: "whole", answer: Ok(good()), is_good: true },
        AnswerCase { name: "none", answer: Err("refused".to_owned()), is_good: false },
        AnswerCase {
            name: "cut",
            answer: Ok(SampleAnswer { body: cut, ..good() }),
            is_good: false,
        },
        AnswerCase {
            name: "a token is missing",
            answer: Ok(SampleAnswer { body: shorter, ..good() }),
            is_good: false,
        },
        AnswerCase {
            name: "of another request",
            answer: Ok(SampleAnswer { request_id: "s".to_owned(), ..good() }),
            is_good: false,
        },
        AnswerCase {
            name: "no disposition",
            answer: Ok(SampleAnswer { disposition: String::new(), ..good() }),
            is_good: false,
        },
    ];
    cases.into_iter().for_each(AnswerCase::check);
    assert_eq!(good().cached_tokens(), 7);
}
