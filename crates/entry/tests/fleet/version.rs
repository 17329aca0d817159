//! Every response comes from the requested adapter and version.

use standin::engine::Switch;

use crate::fixture::{Delivery, Fixture, chat_request, check_whole, refusal, shape};

const REFERENCE: &str = "signs/bay-summary@7";

/// Covers: a response of an engine that names another adapter is withheld.
#[test]
fn answer_for_another_name_is_withheld() {
    let it = Fixture::start(&shape());
    it.set_engines(&Switch::AnswerAs("signs/bay-summary@6+1".to_owned()));
    for delivery in [Delivery::Whole, Delivery::Streamed] {
        let answer = chat_request("other-name", REFERENCE, delivery).send(it.entry(0).address());
        let answer = answer.unwrap();
        assert_eq!(refusal(&answer), ("wrong-adapter".into(), "ran".into()));
        assert!(!answer.text().contains("bay-summary@6#"));
    }
    it.set_engines(&Switch::AnswerAs(String::new()));
    let answer = chat_request("own-name", REFERENCE, Delivery::Whole).send(it.entry(1).address());
    check_whole(&answer.unwrap(), REFERENCE);
}

/// Covers: engines that restart without adapters between a load and a request, and loads that fail
/// at first.
#[test]
fn cold_engines_and_failed_loads_do_not_change_the_answer() {
    let it = Fixture::start(&shape());
    for round in 0..3 {
        for reference in ["signs/bay-summary@6", REFERENCE] {
            let id = format!("cold-{round}-{reference}");
            let answer =
                chat_request(&id, reference, Delivery::Whole).send(it.entry(round).address());
            check_whole(&answer.unwrap(), reference);
            let runs = it.runs(&id);
            assert_eq!(runs.len(), 1, "{runs:?}");
            assert!(runs[0].loaded.starts_with(&format!("{reference}+")));
        }
        it.set_engines(&Switch::Restart);
        it.set_engines(&Switch::FailLoads(1));
    }
}
