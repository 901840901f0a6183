//! Recognition of answers that arrive on a connection for a second time.

use verbenahub_core::targets::AnswerHistory;

#[test]
fn copy_of_an_answer_is_recognised_after_any_number_of_later_answers() {
    let mut history = AnswerHistory::default();
    assert!(history.try_insert(["first/1", "first/2"]));
    for number in 0..1_000 {
        let names: Vec<String> = (0..64).map(|piece| format!("{number}/{piece}")).collect();
        assert!(history.try_insert(names.iter().map(String::as_str)));
        assert!(!history.try_insert(["first/1", "first/2"]), "{number}");
    }
}

#[test]
fn answer_that_repeats_any_name_is_a_copy() {
    let mut history = AnswerHistory::default();
    assert!(history.try_insert(["a"]));
    assert!(!history.try_insert(["b", "a"]));
    assert!(history.try_insert(["b"]), "a copy is not added");
}

#[test]
fn answers_without_results_are_never_copies() {
    let mut history = AnswerHistory::default();
    assert!(history.try_insert([]));
    assert!(history.try_insert([]));
}

#[test]
fn memory_of_a_connection_is_bounded() {
    let mut history = AnswerHistory::default();
    let added = (0..).take_while(|number| {
        let is_full = history.is_full();
        history.try_insert([number.to_string().as_str()]);
        !is_full
    });
    assert_eq!(added.count(), 4_096);
}
